package fawndock.policy.routing;

/**
 * Estimates the latency of one endpoint, as a ratio of the latency objective, by a moving average.
 * Without new samples the estimate decays to the mean of all endpoints. Not thread-safe.
 */
final class LatencyEstimator {
  private static final double GAIN_RATIO = 0.2;
  private static final double DECAY_MICROS = 20_000_000;
  private static final double MIN_RATIO = 1e-3;

  private double ratio = Double.NaN;
  private long recordedAtMicros;

  /** Returns the moving average without decay, or NaN without samples. */
  double recordedRatio() {
    return ratio;
  }

  void record(double sampleRatio, long nowMicros) {
    ratio = Double.isNaN(ratio) ? sampleRatio : ratio + GAIN_RATIO * (sampleRatio - ratio);
    recordedAtMicros = nowMicros;
  }

  /** Discards the samples after the endpoint has restarted. */
  void reset() {
    ratio = Double.NaN;
  }

  /**
   * Returns the latency to expect now.
   *
   * @param allEndpointsRatio mean latency of all endpoints
   * @param oldestInFlightRatio how long the oldest attempt has been in flight; a long wait counts
   *     before its response arrives
   */
  double estimate(double allEndpointsRatio, double oldestInFlightRatio, long nowMicros) {
    double expectedRatio = allEndpointsRatio;
    if (!Double.isNaN(ratio)) {
      double decay = Math.exp(-(nowMicros - recordedAtMicros) / DECAY_MICROS);
      expectedRatio = ratio * decay + allEndpointsRatio * (1 - decay);
    }
    return Math.max(MIN_RATIO, Math.max(expectedRatio, oldestInFlightRatio));
  }
}
