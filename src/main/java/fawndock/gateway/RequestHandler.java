package fawndock.gateway;

import fawndock.policy.config.Plan;
import fawndock.runtime.PolicyRunner;
import fawndock.settings.GatewaySettings;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashMap;
import java.util.Map;

/**
 * Takes in clients' HTTP requests: gives each to the {@link PolicyRunner} once head and body are
 * read. What cannot be read is answered here and never counted. One context.
 */
final class RequestHandler {
  private final GatewaySettings settings;
  private final PolicyRunner policyRunner;
  private final AccessLog accessLog;
  private final RequestReader reader;
  private final Map<String, Plan> plans = new HashMap<>();

  RequestHandler(GatewaySettings settings, PolicyRunner policyRunner, AccessLog accessLog) {
    this.settings = settings;
    this.policyRunner = policyRunner;
    this.accessLog = accessLog;
    this.reader = new RequestReader(settings);
    settings.plans().forEach(plan -> plans.put(plan.name(), plan));
  }

  /** The client's side of a request, which knows its id once the policy runner has given one. */
  private final class ClientConnection {
    private long requestId = -1;

    void onDisconnected() {
      policyRunner.onClientDisconnected(requestId);
    }
  }

  void handle(HttpServerRequest request) {
    long arrivedAtMicros = policyRunner.clock().nowMicros();
    try {
      RequestReader.RequestHead head = reader.read(request, arrivedAtMicros);
      new RequestBodyCollector(
              request,
              head.forwarded().body(),
              settings.http().maxRequestBodyBytes(),
              problem -> respond(request, problem),
              () -> accept(request, head))
          .start(head.attributes().deadlineAtMicros(), policyRunner.clock(), policyRunner.timers());
    } catch (ProblemException e) {
      respond(request, e.details());
    }
  }

  private void accept(HttpServerRequest request, RequestReader.RequestHead head) {
    if (policyRunner.openRequestCount() >= settings.limits().maxInFlight()) {
      request.response().putHeader("retry-after", "1");
      respond(
          request,
          new ProblemDetails(503, "open", "Too many open requests", "Trying again is harmless."));
      return;
    }
    ClientConnection client = new ClientConnection();
    // Set before the policy runs: it may answer at once, and the client may have left by then.
    request.response().closeHandler(closed -> client.onDisconnected());
    request.response().exceptionHandler(e -> client.onDisconnected());
    request.exceptionHandler(e -> client.onDisconnected());
    client.requestId =
        policyRunner.onRequest(
            new HttpExchange(
                request, head.attributes(), head.forwarded(), plans.get(head.attributes().plan())));
  }

  private void respond(HttpServerRequest request, ProblemDetails problem) {
    String label = request.getHeader("x-request-id");
    accessLog.onUncountedResponse(label == null ? "" : label, problem.status(), problem.type());
    if (problem.status() == 413 || problem.status() == 408) {
      request.response().putHeader("connection", "close");
    }
    problem.respond(request);
    request.handler(null);
  }
}
