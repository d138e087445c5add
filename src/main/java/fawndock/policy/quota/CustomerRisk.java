package fawndock.policy.quota;

/**
 * Estimates the probability that a request of one customer is over quota, from what the counter
 * showed of its recent requests.
 */
final class CustomerRisk {
  private static final double SMOOTHING_FACTOR = 0.3;
  private static final double DECAY_WINDOWS = 4;

  private double overQuotaRatio = Double.NaN;
  private long recordedAtMicros;

  /**
   * Returns the current estimate, which decays to {@code levelRatio}, the estimate for all
   * customers at the same demand level.
   */
  double estimate(double levelRatio, long windowMicros, long nowMicros) {
    double decay = Math.exp(-(nowMicros - recordedAtMicros) / (DECAY_WINDOWS * windowMicros));
    return Double.isNaN(overQuotaRatio)
        ? levelRatio
        : levelRatio + (overQuotaRatio - levelRatio) * decay;
  }

  void record(boolean isOverQuota, double priorRatio, long nowMicros) {
    overQuotaRatio = priorRatio + SMOOTHING_FACTOR * ((isOverQuota ? 1 : 0) - priorRatio);
    recordedAtMicros = nowMicros;
  }
}
