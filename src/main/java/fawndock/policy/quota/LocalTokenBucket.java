package fawndock.policy.quota;

/**
 * Enforces a ceiling while the counter does not reply: a token bucket that starts empty and refills
 * at this instance's equal share of the rate. The ceiling holds however many instances cannot reach
 * the counter, but units that peers leave unused are not available here.
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
   * Takes units if the bucket holds enough of them; returns whether it did.
   *
   * @param instanceCount instances that the customer's requests arrive through, at least 1
   * @param lastCounterReplyAtMicros when the counter last replied; the bucket refills only from
   *     then on
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
