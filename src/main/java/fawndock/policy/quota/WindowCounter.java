package fawndock.policy.quota;

/** This instance's view of the counter of one quota in one window. */
final class WindowCounter {
  /** This instance's additions count as lost if a total lacks more units than this of them. */
  private static final double MIN_LOST_UNITS = 0.5;

  private final SlidingWindowQuota quota;
  private final long windowIndex;
  private double totalUnits;
  private boolean isTotalKnown;
  private double confirmedUnits;
  private double pendingUnits;
  private double forwardedUnits;
  private String name;
  private int callsInFlight;
  private boolean isFlushScheduled;
  private boolean isReadAfterClose;
  private CounterCall closingReadInFlight;

  WindowCounter(SlidingWindowQuota quota, long windowIndex) {
    this.quota = quota;
    this.windowIndex = windowIndex;
  }

  SlidingWindowQuota quota() {
    return quota;
  }

  /** Returns the counter's name. It is created on demand, since most counters are never called. */
  String name() {
    if (name == null) {
      name = quota.counterNamePrefix() + Long.toString(windowIndex, Character.MAX_RADIX);
    }
    return name;
  }

  long windowIndex() {
    return windowIndex;
  }

  /** Returns whether the window ended so long ago that the counter service drops its counter. */
  boolean isExpired(long nowMicros) {
    return nowMicros >= (windowIndex + 2) * quota.windowMicros();
  }

  /** Returns the last total read, less what was withdrawn since. */
  double totalUnits() {
    return totalUnits;
  }

  boolean isTotalKnown() {
    return isTotalKnown;
  }

  /**
   * Applies the total after an addition and returns whether it lacks additions of this instance, as
   * after a counter was flushed, emptied or moved; what is lost becomes pending again. This could
   * restore too much if a peer withdrew more than it added, which no peer does.
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

  /** Returns the units of the requests that this instance forwarded in the window. */
  double forwardedUnits() {
    return forwardedUnits;
  }

  void recordForwarded(double units) {
    forwardedUnits += units;
  }

  /**
   * Returns the units still to be added to the counter; negative if additions are to be withdrawn.
   */
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

  void onCallSent() {
    callsInFlight++;
  }

  void onCallCompleted() {
    callsInFlight--;
  }

  boolean hasCallsInFlight() {
    return callsInFlight > 0;
  }

  /** Returns whether this instance still has to send units to the counter. */
  boolean owesUnits(long nowMicros) {
    return pendingUnits != 0 && !isExpired(nowMicros);
  }

  /** Returns the units forwarded in the window, or 0 once it no longer affects any decision. */
  double relevantForwardedUnits(long nowMicros) {
    return isExpired(nowMicros) ? 0 : forwardedUnits;
  }

  boolean isFlushScheduled() {
    return isFlushScheduled;
  }

  void setFlushScheduled(boolean isScheduled) {
    isFlushScheduled = isScheduled;
  }

  /** Returns whether the total was read after the window ended. */
  boolean isReadAfterClose() {
    return isReadAfterClose;
  }

  void markReadAfterClose() {
    isReadAfterClose = true;
  }

  /** Returns the call in flight that reads the total after the window ended, or null. */
  CounterCall closingReadInFlight() {
    return closingReadInFlight;
  }

  void setClosingReadInFlight(CounterCall call) {
    closingReadInFlight = call;
  }
}
