package fawndock.policy.routing;

/**
 * Limits the attempts in flight at all endpoints so that the mean latency stays at a set ratio of
 * the latency objective. This protects against overload from any cause: surges, slow endpoints, a
 * smaller fleet or requests that are not counted; a few slow endpoints may lower the limit for all.
 * Not thread-safe.
 */
final class ConcurrencyLimiter {
  /**
   * Target of the mean latency, as a ratio of the latency objective; the slowest attempts use the
   * rest.
   */
  private static final double TARGET_LATENCY_RATIO = 0.25;

  /** Initial limit of the attempts in flight at an endpoint, from all instances. */
  private static final double INITIAL_ENDPOINT_ATTEMPTS = 12;

  /** Minimum limit of the attempts in flight at an endpoint, from all instances. */
  private static final double MIN_ENDPOINT_ATTEMPTS = 4;

  /** Minimum ratio of the limit in flight at which a response in time raises the limit. */
  private static final double MIN_GROWTH_UTILIZATION_RATIO = 0.7;

  private static final double GROWTH_RATIO = 0.02;
  private static final double GAIN_RATIO = 0.05;

  /** Maximum concurrency of one fast endpoint, in even shares of the limit. */
  private static final int MAX_SHARES_PER_ENDPOINT = 2;

  private final int instanceCount;
  private double limit;
  private double inFlight;
  private double meanInFlight;
  private double meanLatencyRatio = TARGET_LATENCY_RATIO / 2;

  ConcurrencyLimiter(int instanceCount) {
    this.instanceCount = instanceCount;
  }

  /** Sets the initial limit once endpoints are known. */
  void initialize(int endpointCount) {
    limit =
        limit > 0 ? limit : endpointCount * INITIAL_ENDPOINT_ATTEMPTS / Math.max(1, instanceCount);
  }

  /**
   * Returns the moving average of the latency of all endpoints, as a ratio of the latency
   * objective.
   */
  double meanLatencyRatio() {
    return meanLatencyRatio;
  }

  /** Returns whether one more request may be in flight at this number of endpoints. */
  boolean hasCapacity(double weight, int endpointCount) {
    return inFlight + Math.min(1, weight) <= limit(endpointCount);
  }

  /** Returns whether an endpoint may take one more request. Its share is smaller if it is slow. */
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

  /**
   * Counts an attempt as in flight and returns the weight of all attempts in flight, including it.
   */
  double onAttemptStarted(double weight) {
    inFlight += weight;
    return inFlight;
  }

  void onAttemptCompleted(double weight) {
    inFlight = Math.max(0, inFlight - weight);
  }

  /** Adjusts the limit to the latency of an attempt and the weight in flight when it was sent. */
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
