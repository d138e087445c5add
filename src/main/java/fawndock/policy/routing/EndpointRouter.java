package fawndock.policy.routing;

import fawndock.policy.Attempt;
import fawndock.policy.EventContext;
import fawndock.policy.PendingRequest;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.retry.IdempotencyRules;
import java.util.SplittableRandom;

/**
 * Sends attempts to endpoints and updates the statistics of the endpoints from the results. Each
 * step is implemented by a separate class of this package. Not thread-safe.
 */
public final class EndpointRouter {
  private final EventContext context;
  private final ConcurrencyLimiter limiter;
  private final EndpointTable endpoints;
  private final EndpointSelector selector;
  private final IdempotencyRules idempotency;
  private final AttemptOutcomeRecorder outcomeRecorder;

  /** Creates a router that uses the random number generator of the whole policy. */
  public EndpointRouter(
      EventContext context,
      SplittableRandom random,
      PolicyConfig config,
      IdempotencyRules idempotency,
      long maxLatencyObjectiveMicros) {
    this.context = context;
    this.idempotency = idempotency;
    this.limiter = new ConcurrencyLimiter(config.instanceCount());
    this.endpoints = new EndpointTable(context, limiter, config);
    this.outcomeRecorder = new AttemptOutcomeRecorder(context, limiter);
    this.selector =
        new EndpointSelector(
            context,
            random,
            endpoints,
            new EndpointSubset(config.instanceIndex(), config.instanceCount()),
            limiter,
            new SlowStart(config.rules()),
            idempotency,
            maxLatencyObjectiveMicros);
  }

  /** Updates the endpoints from discovery. */
  public void onEndpointUpdate(EndpointUpdate update) {
    endpoints.onUpdate(update);
  }

  /** Returns the endpoint for a request's next attempt, or null if none may take it now. */
  public TrackedEndpoint select(PendingRequest request) {
    return selector.select(request);
  }

  /** Sends an attempt of a request to an endpoint. */
  public void startAttempt(PendingRequest request, TrackedEndpoint endpoint) {
    long nowMicros = context.nowMicros();
    long sendDeadlineMicros = idempotency.sendDeadlineMicros(request);
    double inFlight = limiter.onAttemptStarted(request.weight());
    request.addAttempt(new Attempt(endpoint, nowMicros, inFlight));
    endpoint.onAttemptStarted(request.weight(), nowMicros);
    context.emit(
        new StartAttempt(
            request.id(),
            endpoint.info().id(),
            request.request().deadlineAtMicros(),
            sendDeadlineMicros));
    context.scheduleAt(
        nowMicros + request.requestClass().config().latencyObjectiveMicros(),
        new PolicyTimer.LatencyObjectiveExceeded(request.id()));
  }

  /** Handles the completion of an attempt. */
  public void completeAttempt(PendingRequest request, Attempt attempt, AttemptCompleted completed) {
    attempt.complete(completed.result());
    request.onAttemptCompleted();
    TrackedEndpoint endpoint = attempt.endpoint();
    endpoint.onAttemptCompleted(request.weight(), attempt.startedAtMicros());
    outcomeRecorder.releaseCapacity(attempt, request);
    outcomeRecorder.record(attempt, completed, request.requestClass());
    endpoint.reportedLoad().record(completed.load(), endpoint.inFlight(), context.nowMicros());
  }

  /** Handles the attempts of a request that have exceeded the latency objective. */
  public void onLatencyObjectiveExceeded(PendingRequest request) {
    outcomeRecorder.recordOverdue(request);
  }
}
