package fawndock.policy.routing;

/**
 * Moving mean of one endpoint's latency, as a ratio of the latency objective. Without new samples
 * it fades to the mean of all endpoints.
 */
final class LatencyEstimator {
  private static final double GAIN_RATIO = 0.2;
  private static final double FADE_MICROS = 20_000_000;
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
   * @param fleetRatio the mean of all endpoints
   * @param waitedRatio for how long the oldest attempt is in flight: a long wait counts before its
   *     answer comes
   */
  double estimate(double fleetRatio, double waitedRatio, long nowMicros) {
    double expectedRatio = fleetRatio;
    if (!Double.isNaN(ratio)) {
      double fade = Math.exp(-(nowMicros - recordedAtMicros) / FADE_MICROS);
      expectedRatio = ratio * fade + fleetRatio * (1 - fade);
    }
    return Math.max(MIN_RATIO, Math.max(expectedRatio, waitedRatio));
  }
}
