package fawndock.policy.quota;

/** The counter of one quota in one window, as this instance knows it. */
final class WindowCounter {
  /** What a total must lack of this instance's own adds before they count as lost. */
  private static final double MIN_LOST_UNITS = 0.5;

  private final SlidingWindowQuota quota;
  private final String name;
  private final long windowIndex;
  private double totalUnits;
  private boolean isTotalKnown;
  private double confirmedUnits;
  private double pendingUnits;
  private double forwardedUnits;
  private boolean isFlushScheduled;
  private boolean isReadAfterClose;
  private CounterCall closingReadInFlight;

  WindowCounter(SlidingWindowQuota quota, long windowIndex) {
    this.quota = quota;
    this.name = quota.counterNamePrefix() + Long.toString(windowIndex, Character.MAX_RADIX);
    this.windowIndex = windowIndex;
  }

  SlidingWindowQuota quota() {
    return quota;
  }

  String name() {
    return name;
  }

  long windowIndex() {
    return windowIndex;
  }

  /** Whether the window is too long past to count: the counter service forgets it. */
  boolean isExpired(long nowMicros) {
    return nowMicros >= (windowIndex + 2) * quota.windowMicros();
  }

  /** The last total read, less what was taken back since. */
  double totalUnits() {
    return totalUnits;
  }

  boolean isTotalKnown() {
    return isTotalKnown;
  }

  /**
   * Takes in the total after an add. After a flush, an emptied or a moved counter, what it lacks of
   * this instance's own adds becomes pending again; returns whether that is so. May put back too
   * much if a peer withdraws more than it added; none does.
   */
  boolean applyTotal(double addedUnits, double newTotalUnits) {
    confirmedUnits += addedUnits;
    double lostUnits = Math.min(confirmedUnits, confirmedUnits - newTotalUnits);
    boolean hasLostAdds = lostUnits > MIN_LOST_UNITS;
    if (hasLostAdds) {
      confirmedUnits -= lostUnits;
      pendingUnits += lostUnits;
    }
    isTotalKnown = true;
    totalUnits = newTotalUnits + Math.max(0, lostUnits);
    return hasLostAdds;
  }

  void reduceTotal(double units) {
    totalUnits -= units;
  }

  /** The units of the requests that this instance forwarded in the window. */
  double forwardedUnits() {
    return forwardedUnits;
  }

  void recordForwarded(double units) {
    forwardedUnits += units;
  }

  /** What is yet to be added to the counter; negative where adds are to be taken back. */
  double pendingUnits() {
    return pendingUnits;
  }

  void addPendingUnits(double units) {
    pendingUnits += units;
  }

  double takePendingUnits() {
    double units = pendingUnits;
    pendingUnits = 0;
    return units;
  }

  boolean isFlushScheduled() {
    return isFlushScheduled;
  }

  void setFlushScheduled(boolean isScheduled) {
    isFlushScheduled = isScheduled;
  }

  /** Whether the total was read after the window ended. */
  boolean isReadAfterClose() {
    return isReadAfterClose;
  }

  void markReadAfterClose() {
    isReadAfterClose = true;
  }

  /** The call that reads the ended window, or null. */
  CounterCall closingReadInFlight() {
    return closingReadInFlight;
  }

  void setClosingReadInFlight(CounterCall call) {
    closingReadInFlight = call;
  }
}
