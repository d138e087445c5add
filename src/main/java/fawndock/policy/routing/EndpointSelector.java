package fawndock.policy.routing;

import fawndock.policy.Attempt;
import fawndock.policy.EventContext;
import fawndock.policy.PendingRequest;
import fawndock.policy.retry.IdempotencyRules;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Selects the endpoint of an attempt: the one of a subset with the lowest product of expected
 * latency and load. An endpoint in slow start is selected at random for its reduced share of an
 * even distribution instead, regardless of the number of instances and of what each knows about it;
 * while most endpoints are in slow start, few requests are sent. Not thread-safe.
 */
final class EndpointSelector {
  private static final int MAX_CANDIDATES = 16;

  /**
   * Share of an endpoint in slow start, as a ratio of an even share times its capacity ratio; most
   * endpoints have more capacity.
   */
  private static final double SLOW_START_SHARE_RATIO = 1.5;

  /** Maximum random increase of a score, which breaks ties between endpoints with equal scores. */
  private static final double SCORE_JITTER_RATIO = 0.001;

  private final EventContext context;
  private final SplittableRandom random;
  private final EndpointTable endpoints;
  private final EndpointSubset subset;
  private final ConcurrencyLimiter limiter;
  private final SlowStart slowStart;
  private final IdempotencyRules idempotency;
  private final long maxLatencyObjectiveMicros;

  EndpointSelector(
      EventContext context,
      SplittableRandom random,
      EndpointTable endpoints,
      EndpointSubset subset,
      ConcurrencyLimiter limiter,
      SlowStart slowStart,
      IdempotencyRules idempotency,
      long maxLatencyObjectiveMicros) {
    this.context = context;
    this.random = random;
    this.endpoints = endpoints;
    this.subset = subset;
    this.limiter = limiter;
    this.slowStart = slowStart;
    this.idempotency = idempotency;
    this.maxLatencyObjectiveMicros = maxLatencyObjectiveMicros;
  }

  /** Returns the endpoint for a request's next attempt, or null if none may take it now. */
  TrackedEndpoint select(PendingRequest request) {
    List<TrackedEndpoint> running = endpoints.running();
    int count = running.size();
    if (count == 0 || !limiter.hasCapacity(request.weight(), count)) {
      return null;
    }
    boolean mayEject = OutlierDetector.mayEject(running);
    TrackedEndpoint first = running.get(request.endpointDraw() % count);
    if (passesSlowStartDraw(first, request) && mayTake(first, request, mayEject)) {
      return first;
    }
    return selectWarm(request, running, mayEject);
  }

  private boolean passesSlowStartDraw(TrackedEndpoint endpoint, PendingRequest request) {
    double capacityRatio = slowStart.capacityRatio(endpoint, context.nowMicros());
    return capacityRatio < 1
        && request.slowStartDraw()
            < SLOW_START_SHARE_RATIO * capacityRatio / Math.max(1, request.weight());
  }

  // Endpoints outside the subset are considered only while none in it may take the request.
  private TrackedEndpoint selectWarm(
      PendingRequest request, List<TrackedEndpoint> running, boolean mayEject) {
    int count = running.size();
    int start = request.endpointDraw() % count;
    int subsetSize = subset.size(count);
    int subsetStart = subset.firstIndex(count);
    TrackedEndpoint best = null;
    double bestScore = Double.MAX_VALUE;
    int candidates = Math.min(count, MAX_CANDIDATES);
    for (int i = 0; i < candidates && (i < subsetSize || best == null); i++) {
      int offset = i < subsetSize ? (start + i) % subsetSize : i;
      TrackedEndpoint endpoint = running.get((subsetStart + offset) % count);
      double score = score(endpoint) * (1 + SCORE_JITTER_RATIO * random.nextDouble());
      if (score < bestScore
          && slowStart.isWarm(endpoint, context.nowMicros())
          && mayTake(endpoint, request, mayEject)) {
        bestScore = score;
        best = endpoint;
      }
    }
    return best;
  }

  private double score(TrackedEndpoint endpoint) {
    double otherLoad = endpoint.reportedLoad().current(context.nowMicros());
    return latencyRatio(endpoint) * (1 + endpoint.inFlight() + otherLoad);
  }

  private boolean mayTake(TrackedEndpoint endpoint, PendingRequest request, boolean mayEject) {
    int count = endpoints.running().size();
    long nowMicros = context.nowMicros();
    return !(mayEject && endpoint.outlierDetector().isEjected(endpoint.inFlight(), nowMicros))
        && !(count > 1 && wasTried(endpoint, request))
        && idempotency.allowsEndpoint(request, endpoint.info(), nowMicros)
        && limiter.hasCapacity(
            request.weight(), endpoint.inFlight(), latencyRatio(endpoint), count);
  }

  private static boolean wasTried(TrackedEndpoint endpoint, PendingRequest request) {
    List<Attempt> attempts = request.attempts();
    for (int i = 0; i < attempts.size(); i++) {
      if (attempts.get(i).endpoint() == endpoint) {
        return true;
      }
    }
    return false;
  }

  /** Returns the expected latency of an endpoint, as a ratio of the latency objective. */
  private double latencyRatio(TrackedEndpoint endpoint) {
    long nowMicros = context.nowMicros();
    double oldestInFlightRatio =
        endpoint.hasInFlight()
            ? (double) endpoint.oldestInFlightMicros(nowMicros) / maxLatencyObjectiveMicros
            : 0;
    return endpoint.latency().estimate(limiter.meanLatencyRatio(), oldestInFlightRatio, nowMicros);
  }
}
