package fawndock.policy.quota;

/**
 * Estimates the level of the plan's token bucket by replaying the two window totals: it refills at
 * the plan's rate and drains by the units added since the last update. It tracks the maximum seen
 * of each total, so that a total read before this instance's own addition, or reduced because a
 * peer withdrew an addition, does not refill the bucket.
 */
final class TokenBucketReplay {
  private final double limitUnits;
  private final long windowMicros;
  private double availableUnits = Double.NaN;
  private double maxCurrentTotalUnits;
  private double maxPreviousTotalUnits;
  private long updatedAtMicros;

  TokenBucketReplay(double limitUnits, long windowMicros) {
    this.limitUnits = limitUnits;
    this.windowMicros = windowMicros;
  }

  void startWindow(boolean isConsecutive, long nowMicros) {
    availableUnits = isConsecutive ? availableUnits : Double.NaN;
    updatedAtMicros = isConsecutive ? updatedAtMicros : nowMicros;
    maxPreviousTotalUnits = maxCurrentTotalUnits;
    maxCurrentTotalUnits = 0;
  }

  boolean isInitialized() {
    return !Double.isNaN(availableUnits);
  }

  double availableUnits() {
    return availableUnits;
  }

  /**
   * Initializes the bucket with what the sliding-window estimate leaves of the limit; the totals
   * are those of {@link #update}.
   */
  void initialize(double estimateUnits, double currentUnits, double previousUnits, long nowMicros) {
    availableUnits = Math.max(0, limitUnits - estimateUnits);
    recordTotals(currentUnits, previousUnits, nowMicros);
  }

  /**
   * Updates the bucket to new totals.
   *
   * @param currentUnits the current window's total before the request's own addition
   * @param previousUnits the previous window's total as read
   */
  void update(double currentUnits, double previousUnits, long nowMicros) {
    availableUnits =
        maxAvailableUnits(nowMicros)
            - (Math.max(currentUnits, maxCurrentTotalUnits) - maxCurrentTotalUnits)
            - (Math.max(previousUnits, maxPreviousTotalUnits) - maxPreviousTotalUnits);
    recordTotals(currentUnits, previousUnits, nowMicros);
  }

  private void recordTotals(double currentUnits, double previousUnits, long nowMicros) {
    maxCurrentTotalUnits = Math.max(currentUnits, maxCurrentTotalUnits);
    maxPreviousTotalUnits = Math.max(previousUnits, maxPreviousTotalUnits);
    updatedAtMicros = nowMicros;
  }

  /** Returns the maximum that the bucket can hold now. */
  double maxAvailableUnits(long nowMicros) {
    return Double.isNaN(availableUnits)
        ? 0
        : Math.min(
            limitUnits, availableUnits + limitUnits * (nowMicros - updatedAtMicros) / windowMicros);
  }

  /** Takes units that the current window's total will include. */
  void take(double units) {
    availableUnits -= units;
    maxCurrentTotalUnits += units;
  }
}
