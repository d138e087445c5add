package fawndock.policy.quota;

/**
 * Estimates one customer's recent demand on this instance, relative to an equal share of its quota.
 */
final class DemandEstimator {
  /** Number of demand levels; each level is twice the one below. */
  static final int LEVEL_COUNT = 6;

  /** The level of a demand between one and two equal shares of the quota. */
  private static final int EQUAL_SHARE_LEVEL = 3;

  private static final double DECAY_WINDOWS = 3;

  private final long windowMicros;
  private double demandUnits;
  private long recordedAtMicros;

  DemandEstimator(long windowMicros) {
    this.windowMicros = windowMicros;
  }

  long recordedAtMicros() {
    return recordedAtMicros;
  }

  double unitsPerWindow() {
    return demandUnits / DECAY_WINDOWS;
  }

  /**
   * Records a request and returns the demand level before it, from 0 to {@link #LEVEL_COUNT} - 1.
   *
   * @param limitUnits units that all requests of a window may use
   * @param instanceCount instances that the customer's requests arrive through
   */
  int record(double units, double limitUnits, int instanceCount, long nowMicros) {
    double decayedUnits =
        demandUnits * Math.exp(-(nowMicros - recordedAtMicros) / (DECAY_WINDOWS * windowMicros));
    demandUnits = decayedUnits + units;
    recordedAtMicros = nowMicros;
    double equalShares = decayedUnits * instanceCount / (limitUnits * DECAY_WINDOWS);
    double level = EQUAL_SHARE_LEVEL + Math.floor(Math.log(equalShares) / Math.log(2));
    return (int) Math.max(0, Math.min(LEVEL_COUNT - 1, level));
  }
}
