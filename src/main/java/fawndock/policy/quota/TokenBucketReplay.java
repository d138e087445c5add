package fawndock.policy.quota;

/**
 * The plan's token bucket as replayed from the two totals: it fills at the plan's rate and is
 * drained by what was added since the last look. Each total is followed by its highest mark: a
 * total read before an own add came in, or a peer's add that is taken back, must not fill it again.
 */
final class TokenBucketReplay {
  private final double limitUnits;
  private final long windowMicros;
  private double levelUnits = Double.NaN;
  private double currentMarkUnits;
  private double previousMarkUnits;
  private long replayedAtMicros;

  TokenBucketReplay(double limitUnits, long windowMicros) {
    this.limitUnits = limitUnits;
    this.windowMicros = windowMicros;
  }

  void startWindow(boolean isNext, long nowMicros) {
    levelUnits = isNext ? levelUnits : Double.NaN;
    replayedAtMicros = isNext ? replayedAtMicros : nowMicros;
    previousMarkUnits = currentMarkUnits;
    currentMarkUnits = 0;
  }

  boolean isKnown() {
    return !Double.isNaN(levelUnits);
  }

  double levelUnits() {
    return levelUnits;
  }

  /** Starts from what the sliding window's estimate leaves of the limit; totals as below. */
  void start(double estimateUnits, double currentUnits, double previousUnits, long nowMicros) {
    levelUnits = Math.max(0, limitUnits - estimateUnits);
    mark(currentUnits, previousUnits, nowMicros);
  }

  /**
   * Follows the totals.
   *
   * @param currentUnits the current window's total before the request's own add
   * @param previousUnits the previous window's total as read
   */
  void replay(double currentUnits, double previousUnits, long nowMicros) {
    levelUnits =
        maxLevelUnits(nowMicros)
            - (Math.max(currentUnits, currentMarkUnits) - currentMarkUnits)
            - (Math.max(previousUnits, previousMarkUnits) - previousMarkUnits);
    mark(currentUnits, previousUnits, nowMicros);
  }

  private void mark(double currentUnits, double previousUnits, long nowMicros) {
    currentMarkUnits = Math.max(currentUnits, currentMarkUnits);
    previousMarkUnits = Math.max(previousUnits, previousMarkUnits);
    replayedAtMicros = nowMicros;
  }

  /** The most that the bucket can hold by now. */
  double maxLevelUnits(long nowMicros) {
    return Double.isNaN(levelUnits)
        ? 0
        : Math.min(
            limitUnits, levelUnits + limitUnits * (nowMicros - replayedAtMicros) / windowMicros);
  }

  /** Takes units out, which the current window's total will show. */
  void take(double units) {
    levelUnits -= units;
    currentMarkUnits += units;
  }
}
