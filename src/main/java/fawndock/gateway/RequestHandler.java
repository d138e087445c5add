package fawndock.gateway;

import fawndock.policy.config.Plan;
import fawndock.runtime.PolicyRunner;
import fawndock.settings.GatewaySettings;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashMap;
import java.util.Map;

/**
 * Handles clients' HTTP requests: passes each one to the {@link PolicyRunner} once its head and
 * body are read. An invalid request is answered here; it does not reach the policy and uses no
 * quota. The handler is confined to one event-loop context.
 */
final class RequestHandler {
  private final GatewaySettings settings;
  private final PolicyRunner policyRunner;
  private final AccessLog accessLog;
  private final RequestReader reader;
  private final RequestMemory requestMemory;
  private final Map<String, Plan> plans = new HashMap<>();

  RequestHandler(GatewaySettings settings, PolicyRunner policyRunner, AccessLog accessLog) {
    this.settings = settings;
    this.policyRunner = policyRunner;
    this.accessLog = accessLog;
    this.reader = new RequestReader(settings);
    this.requestMemory =
        new RequestMemory(
            RequestMemory.limitBytes(settings.instances()), policyRunner.clock()::nowMicros);
    settings.plans().forEach(plan -> plans.put(plan.name(), plan));
  }

  /**
   * Reports a client's disconnect to the policy runner, by the request id, which is set once the
   * policy runner has assigned it.
   */
  private final class DisconnectHandler {
    private final int bodyBytes;
    private long requestId = -1;
    private boolean isReleased;

    DisconnectHandler(int bodyBytes) {
      this.bodyBytes = bodyBytes;
    }

    void onEnded() {
      if (!isReleased) {
        isReleased = true;
        requestMemory.release(bodyBytes);
      }
    }

    void onDisconnected() {
      onEnded();
      policyRunner.onClientDisconnected(requestId);
    }
  }

  /** Reads a request, then passes it to the policy runner or responds with a problem. */
  void handle(HttpServerRequest request) {
    long arrivedAtMicros = policyRunner.clock().nowMicros();
    try {
      RequestReader.RequestHead head = reader.read(request, arrivedAtMicros);
      new RequestBodyCollector(
              request,
              head.forwarded().body(),
              settings.http().maxRequestBodyBytes(),
              requestMemory.partialBodies(),
              problem -> respond(request, problem),
              () -> accept(request, head))
          .start(head.attributes().deadlineAtMicros(), policyRunner.clock(), policyRunner.timers());
    } catch (ProblemException e) {
      respond(request, e.details());
    }
  }

  private void accept(HttpServerRequest request, RequestReader.RequestHead head) {
    int bodyBytes = head.forwarded().body().length();
    if (policyRunner.openRequestCount() >= settings.limits().maxInFlight()
        || !requestMemory.tryAcquire(bodyBytes)) {
      request.response().putHeader("retry-after", "1");
      respond(
          request,
          new ProblemDetails(503, "open", "Too many open requests", "Trying again is harmless."));
      return;
    }
    DisconnectHandler disconnectHandler = new DisconnectHandler(bodyBytes);
    // The handlers are set before the policy runs because the policy may respond immediately, and
    // the client may have disconnected by then.
    request.response().endHandler(ended -> disconnectHandler.onEnded());
    request.response().closeHandler(closed -> disconnectHandler.onDisconnected());
    request.response().exceptionHandler(e -> disconnectHandler.onDisconnected());
    request.exceptionHandler(e -> disconnectHandler.onDisconnected());
    disconnectHandler.requestId =
        policyRunner.onRequest(
            new HttpExchange(
                request, head.attributes(), head.forwarded(), plans.get(head.attributes().plan())));
  }

  private void respond(HttpServerRequest request, ProblemDetails problem) {
    String label = request.getHeader("x-request-id");
    accessLog.onLocalResponse(label == null ? "" : label, problem.status(), problem.type());
    if (problem.status() == 413
        || problem.status() == 408
        || problem.type().equals(RequestBodyCollector.NO_MEMORY)) {
      request.response().putHeader("connection", "close");
    }
    problem.respond(request);
    request.handler(null);
  }
}
