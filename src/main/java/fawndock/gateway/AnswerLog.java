package fawndock.gateway;

import static net.logstash.logback.argument.StructuredArguments.kv;

import fawndock.runtime.InFlightRequest;
import fawndock.runtime.ResponseRecorder;
import fawndock.runtime.ServerExchange.RequestAttributes;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One line for each final answer, under the logger {@code fawndock.answers}; docs/operations.md
 * lists its fields.
 */
final class AnswerLog implements ResponseRecorder {
  private static final Logger LOG = LoggerFactory.getLogger("fawndock.answers");
  private final int gatekeeper;
  private final boolean on;

  AnswerLog(int gatekeeper, boolean on) {
    this.gatekeeper = gatekeeper;
    this.on = on;
  }

  @Override
  public void onResponse(InFlightRequest request, long now, RequestOutcome verdict, String reason) {
    if (on && LOG.isInfoEnabled()) {
      RequestAttributes a = request.exchange.requestAttributes();
      LOG.info(
          "{} {} {} {} {} {} {} {} {} {} {} {}",
          kv("request", request.id),
          kv("label", a.label()),
          kv("gatekeeper", gatekeeper),
          kv("class", a.requestClass().name()),
          kv("plan", a.plan()),
          kv("customer", a.customer()),
          kv("attempts", request.attempts.size()),
          kv("verdict", verdict.name().toLowerCase(Locale.ROOT)),
          kv("reason", reason),
          kv("status", status(request, verdict)),
          kv("took_us", now - a.arrivedAtMicros()),
          kv("left_us", a.deadlineAtMicros() - now));
    }
  }

  private static int status(InFlightRequest request, RequestOutcome verdict) {
    return switch (verdict) {
      case SERVED -> request.exchange instanceof HttpExchange http ? http.status() : 0;
      case REJECTED -> 429;
      case FAILED -> request.wasStreamed() ? 0 : request.hasAttemptFailure() ? 502 : 504;
      case DISCONNECTED -> 0;
    };
  }

  /** A request that was answered without asking the gatekeeper. */
  void turnedAway(String label, int status, String reason) {
    if (on && LOG.isInfoEnabled()) {
      LOG.info(
          "{} {} {} {} {}",
          kv("label", label),
          kv("gatekeeper", gatekeeper),
          kv("verdict", "turned away"),
          kv("reason", reason),
          kv("status", status));
    }
  }
}
