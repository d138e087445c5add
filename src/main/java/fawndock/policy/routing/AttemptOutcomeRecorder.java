package fawndock.policy.routing;

import fawndock.policy.Attempt;
import fawndock.policy.EventContext;
import fawndock.policy.PendingRequest;
import fawndock.policy.RequestClassState;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;

/**
 * Records the result of an attempt, or its lateness, in the statistics of its endpoint and in the
 * concurrency limit. Not thread-safe.
 */
final class AttemptOutcomeRecorder {
  /**
   * Minimum latency to record for an attempt that is late, lost or shed, as a ratio of the latency
   * objective.
   */
  private static final double MIN_LATE_LATENCY_RATIO = 1;

  private final EventContext context;
  private final ConcurrencyLimiter limiter;

  AttemptOutcomeRecorder(EventContext context, ConcurrencyLimiter limiter) {
    this.context = context;
    this.limiter = limiter;
  }

  void record(Attempt attempt, AttemptCompleted completed, RequestClassState requestClass) {
    double latencyRatio =
        (double) completed.latencyMicros() / requestClass.config().latencyObjectiveMicros();
    switch (completed.result()) {
      case OK -> {
        attempt.endpoint().outlierDetector().recordSuccess();
        recordLatency(attempt.endpoint(), latencyRatio);
        requestClass.recordLatency(completed.latencyMicros());
        limiter.recordLatency(latencyRatio, attempt.inFlightAtStart());
      }
      case ERROR, TIMEOUT, RESET, CONNECT_FAILED ->
          recordFailure(attempt.endpoint(), completed.result(), latencyRatio);
      case SHED -> limiter.recordLatency(MIN_LATE_LATENCY_RATIO, attempt.inFlightAtStart());
      case CANCELLED, NOT_SENT -> {
        // These results say nothing about the endpoint.
      }
    }
  }

  // An endpoint that fails fast must not appear to have a low latency, which would attract traffic.
  // This may also divert traffic from a healthy endpoint whose requests are at fault.
  private void recordFailure(TrackedEndpoint endpoint, CallResult result, double latencyRatio) {
    double minRatio =
        result == CallResult.ERROR ? Math.max(MIN_LATE_LATENCY_RATIO, latencyRatio) : latencyRatio;
    recordLatency(endpoint, Math.max(minRatio, endpoint.latency().recordedRatio()));
    endpoint.outlierDetector().recordFailure(context.nowMicros());
  }

  /**
   * Records attempts that have been in flight for longer than the latency objective as late or
   * lost: they no longer count against the concurrency limit, and their endpoints count as slow. If
   * processing takes that long at all endpoints, the late responses that do arrive lower the limit.
   */
  void recordOverdue(PendingRequest request) {
    long objectiveMicros = request.requestClass().config().latencyObjectiveMicros();
    for (Attempt attempt : request.attempts()) {
      if (!attempt.isCompleted()
          && context.nowMicros() - attempt.startedAtMicros() >= objectiveMicros) {
        releaseCapacity(attempt, request);
        LatencyEstimator latency = attempt.endpoint().latency();
        recordLatency(
            attempt.endpoint(), Math.max(MIN_LATE_LATENCY_RATIO, latency.recordedRatio()));
      }
    }
  }

  /** Stops counting an attempt against the concurrency limit. */
  void releaseCapacity(Attempt attempt, PendingRequest request) {
    limiter.onAttemptCompleted(attempt.isCapacityReleased() ? 0 : request.weight());
    attempt.markCapacityReleased();
  }

  private void recordLatency(TrackedEndpoint endpoint, double latencyRatio) {
    endpoint.latency().record(latencyRatio, context.nowMicros());
  }
}
