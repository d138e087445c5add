package fawndock.policy.quota;

/**
 * The plan's token bucket as replayed from the two totals: it fills at the plan's rate and is
 * drained by what was added since the last look. Each total is followed by its highest mark: a
 * total read before an own add came in, or a peer's add that is taken back, must not fill it again.
 */
final class TokenBucketEstimate {
  private final double limitUnits;
  private final long windowMicros;
  private double availableUnits = Double.NaN;
  private double maxCurrentTotalUnits;
  private double maxPreviousTotalUnits;
  private long updatedAtMicros;

  TokenBucketEstimate(double limitUnits, long windowMicros) {
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

  /** Starts from what the sliding window's estimate leaves of the limit; totals as below. */
  void initialize(double estimateUnits, double currentUnits, double previousUnits, long nowMicros) {
    availableUnits = Math.max(0, limitUnits - estimateUnits);
    recordTotals(currentUnits, previousUnits, nowMicros);
  }

  /**
   * Follows the totals.
   *
   * @param currentUnits the current window's total before the request's own add
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

  /** The most that the bucket can hold by now. */
  double maxAvailableUnits(long nowMicros) {
    return Double.isNaN(availableUnits)
        ? 0
        : Math.min(
            limitUnits, availableUnits + limitUnits * (nowMicros - updatedAtMicros) / windowMicros);
  }

  /** Takes units out, which the current window's total will show. */
  void take(double units) {
    availableUnits -= units;
    maxCurrentTotalUnits += units;
  }
}
