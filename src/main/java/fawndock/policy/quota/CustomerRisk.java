package fawndock.policy.quota;

/** The share of one customer's requests, recently, that the counter showed to be over quota. */
final class CustomerRisk {
  private static final double SMOOTHING_FACTOR = 0.3;
  private static final double DECAY_WINDOWS = 4;

  private double overQuotaRatio = Double.NaN;
  private long recordedAtMicros;

  /** The risk by now: it fades to that of all customers at the same demand. */
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
