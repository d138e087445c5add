package fawndock.policy.routing;

/**
 * Moving mean of one endpoint's latency, as a ratio of the latency objective. Without new samples
 * it fades to the mean of all endpoints.
 */
final class LatencyEstimator {
  private static final double GAIN_RATIO = 0.2;
  private static final double DECAY_MICROS = 20_000_000;
  private static final double MIN_RATIO = 1e-3;

  private double ratio = Double.NaN;
  private long recordedAtMicros;

  /** The mean as recorded; NaN without samples. */
  double recordedRatio() {
    return ratio;
  }

  void record(double sampleRatio, long nowMicros) {
    ratio = Double.isNaN(ratio) ? sampleRatio : ratio + GAIN_RATIO * (sampleRatio - ratio);
    recordedAtMicros = nowMicros;
  }

  /** The endpoint has restarted. */
  void reset() {
    ratio = Double.NaN;
  }

  /**
   * The latency to expect now.
   *
   * @param allEndpointsRatio the mean of all endpoints
   * @param oldestInFlightRatio for how long the oldest attempt is in flight: a long wait counts
   *     before its answer comes
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
