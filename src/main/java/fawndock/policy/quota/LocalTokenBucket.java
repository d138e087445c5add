package fawndock.policy.quota;

/**
 * Holds a ceiling while the counter does not answer: this instance's even part of the rate, from an
 * empty bucket. Keeps the ceiling under any loss of the counter; what peers leave unused is
 * rejected.
 */
final class LocalTokenBucket {
  private final double limitUnits;
  private final long windowMicros;
  private double availableUnits = Double.NaN;
  private long refilledAtMicros;

  LocalTokenBucket(double limitUnits, long windowMicros) {
    this.limitUnits = limitUnits;
    this.windowMicros = windowMicros;
  }

  void reset(long nowMicros) {
    availableUnits = Double.NaN;
    refilledAtMicros = nowMicros;
  }

  /**
   * Takes units if the bucket holds them.
   *
   * @param instanceCount instances that the customer comes through, at least 1
   * @param counterHeardAtMicros since when the counter is missing: the bucket fills from then on
   */
  boolean tryTake(
      double units, double instanceCount, long lastCounterReplyAtMicros, long nowMicros) {
    availableUnits =
        Math.min(
            limitUnits / instanceCount,
            (Double.isNaN(availableUnits) ? 0 : availableUnits)
                + limitUnits
                    * (nowMicros - Math.max(refilledAtMicros, lastCounterReplyAtMicros))
                    / windowMicros
                    / instanceCount);
    refilledAtMicros = nowMicros;
    boolean isInsufficient = availableUnits < units;
    availableUnits -= isInsufficient ? 0 : units;
    return !isInsufficient;
  }
}
