package fawndock.policy.quota;

/** One customer's recent demand on this instance, relative to an even part of its quota. */
final class DemandEstimator {
  /** Levels of demand, each twice the one below. */
  static final int LEVEL_COUNT = 6;

  /** The level at which demand is the even part of the quota, up to twice that. */
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
   * Takes in a request; returns the level of demand before it, from 0 to {@link #LEVEL_COUNT} - 1.
   *
   * @param limitUnits what all requests of a window may come to
   * @param instanceCount instances that the customer comes through
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
