package fawndock.policy.routing;

/**
 * Limits the attempts in flight at all endpoints to what keeps the mean latency at a part of the
 * latency objective. Holds against overload from any cause: surges, slow endpoints, a shrunk fleet,
 * uncounted requests. A few slow endpoints may lower the limit for all.
 */
final class ConcurrencyLimiter {
  /** Mean latency to keep to, as a ratio of the latency objective: the slowest take the rest. */
  private static final double TARGET_LATENCY_RATIO = 0.25;

  /** Attempts in flight at an endpoint, of all instances: at first, and at the least. */
  private static final double INITIAL_ENDPOINT_ATTEMPTS = 12;

  private static final double MIN_ENDPOINT_ATTEMPTS = 4;

  /** With this ratio of the limit in flight, an answer in time raises the limit. */
  private static final double MIN_GROWTH_UTILIZATION_RATIO = 0.7;

  private static final double GROWTH_RATIO = 0.02;
  private static final double GAIN_RATIO = 0.05;

  /** How many even shares of the limit one fast endpoint may take. */
  private static final int MAX_SHARES_PER_ENDPOINT = 2;

  private final int instanceCount;
  private double limit;
  private double inFlight;
  private double meanInFlight;
  private double meanLatencyRatio = TARGET_LATENCY_RATIO / 2;

  ConcurrencyLimiter(int instanceCount) {
    this.instanceCount = instanceCount;
  }

  /** Sets the first limit, once endpoints are known. */
  void initialize(int endpointCount) {
    limit =
        limit > 0 ? limit : endpointCount * INITIAL_ENDPOINT_ATTEMPTS / Math.max(1, instanceCount);
  }

  /** Moving mean of all endpoints' latency, of the latency objective. */
  double meanLatencyRatio() {
    return meanLatencyRatio;
  }

  /** Whether one more request may be in flight at this many endpoints. */
  boolean hasCapacity(double weight, int endpointCount) {
    return inFlight + Math.min(1, weight) <= limit(endpointCount);
  }

  /** Whether an endpoint may take one more request: its share, less where it is slow. */
  boolean hasCapacity(
      double weight, double endpointInFlight, double endpointLatencyRatio, int endpointCount) {
    double share =
        MAX_SHARES_PER_ENDPOINT
            * limit(endpointCount)
            / endpointCount
            * Math.min(1, meanLatencyRatio / endpointLatencyRatio);
    return endpointInFlight + Math.min(1, weight) <= Math.max(1, share);
  }

  private double limit(int endpointCount) {
    double minLimit =
        Math.max(1, endpointCount * Math.min(1, MIN_ENDPOINT_ATTEMPTS / instanceCount));
    return Math.max(limit, minLimit);
  }

  /** Takes in an attempt; returns the weight of all in flight with it. */
  double onAttemptStarted(double weight) {
    inFlight += weight;
    return inFlight;
  }

  void onAttemptCompleted(double weight) {
    inFlight = Math.max(0, inFlight - weight);
  }

  /** Adapts the limit to the latency of an attempt that began with so many in flight. */
  void recordLatency(double latencyRatio, double inFlightAtStart) {
    meanLatencyRatio += GAIN_RATIO * (latencyRatio - meanLatencyRatio);
    meanInFlight += GAIN_RATIO * (inFlightAtStart - meanInFlight);
    if (meanLatencyRatio > TARGET_LATENCY_RATIO) {
      limit = Math.min(limit, meanInFlight * TARGET_LATENCY_RATIO / meanLatencyRatio);
    } else if (inFlight >= limit * MIN_GROWTH_UTILIZATION_RATIO) {
      limit += limit * GROWTH_RATIO;
    }
  }
}
