package fawndock.gateway;

import static net.logstash.logback.argument.StructuredArguments.kv;

import fawndock.runtime.InFlightRequest;
import fawndock.runtime.ResponseRecorder;
import fawndock.runtime.ServerExchange.RequestAttributes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes one line for each final response to the logger {@code fawndock.answers};
 * docs/operations.md lists its fields. The log is confined to one event-loop context.
 */
final class AccessLog implements ResponseRecorder {
  private static final Logger LOG = LoggerFactory.getLogger("fawndock.answers");
  private final int instanceIndex;
  private final boolean isEnabled;

  AccessLog(int instanceIndex, boolean isEnabled) {
    this.instanceIndex = instanceIndex;
    this.isEnabled = isEnabled;
  }

  @Override
  public void onResponse(
      InFlightRequest request, long nowMicros, RequestOutcome outcome, String reason) {
    if (isEnabled && LOG.isInfoEnabled()) {
      RequestAttributes attributes = request.exchange.requestAttributes();
      LOG.info(
          "{} {} {} {} {} {} {} {} {} {} {} {}",
          kv("request", request.id),
          kv("label", attributes.label()),
          kv("gatekeeper", instanceIndex),
          kv("class", attributes.requestClass().name()),
          kv("plan", attributes.plan()),
          kv("customer", attributes.customer()),
          kv("attempts", request.attempts.size()),
          kv("verdict", verdict(outcome)),
          kv("reason", reason),
          kv("status", status(request, outcome)),
          kv("took_us", nowMicros - attributes.arrivedAtMicros()),
          kv("left_us", attributes.deadlineAtMicros() - nowMicros));
    }
  }

  /** Returns the verdict of an outcome as it is logged; docs/operations.md lists the values. */
  private static String verdict(RequestOutcome outcome) {
    return switch (outcome) {
      case SERVED -> "served";
      case REJECTED -> "refused";
      case FAILED -> "failed";
      case DISCONNECTED -> "gone";
    };
  }

  /**
   * Returns the status that the client received, or 0 if there was no response or it was streamed.
   */
  private static int status(InFlightRequest request, RequestOutcome outcome) {
    return switch (outcome) {
      case SERVED -> request.exchange instanceof HttpExchange http ? http.status() : 0;
      case REJECTED -> 429;
      case FAILED -> request.wasStreamed() ? 0 : request.hasLastAttemptFailed() ? 502 : 504;
      case DISCONNECTED -> 0;
    };
  }

  /** Logs a response that the gateway sent without passing the request to the policy. */
  void onLocalResponse(String label, int status, String reason) {
    if (isEnabled && LOG.isInfoEnabled()) {
      LOG.info(
          "{} {} {} {} {}",
          kv("label", label),
          kv("gatekeeper", instanceIndex),
          kv("verdict", "turned away"),
          kv("reason", reason),
          kv("status", status));
    }
  }
}
