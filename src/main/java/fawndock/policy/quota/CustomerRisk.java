package fawndock.policy.quota;

/** The share of one customer's requests, recently, that the counter showed to be over quota. */
final class CustomerRisk {
  private static final double GAIN_RATIO = 0.3;
  private static final double MEMORY_WINDOWS = 4;

  private double ratio = Double.NaN;
  private long recordedAtMicros;

  /** The risk by now: it fades to that of all customers at the same demand. */
  double estimate(double generalRatio, long windowMicros, long nowMicros) {
    double fade = Math.exp(-(nowMicros - recordedAtMicros) / (MEMORY_WINDOWS * windowMicros));
    return Double.isNaN(ratio) ? generalRatio : generalRatio + (ratio - generalRatio) * fade;
  }

  void record(boolean isOverQuota, double knownRatio, long nowMicros) {
    ratio = knownRatio + GAIN_RATIO * ((isOverQuota ? 1 : 0) - knownRatio);
    recordedAtMicros = nowMicros;
  }
}
