package fawndock.policy.quota;

import fawndock.policy.EventContext;

/**
 * Whether the totals read, or this instance's own sends, prove a quota used up: totals only grow
 * within a window. May reject for up to a window after peers took adds back.
 */
final class ProvenOverQuota {
  private final EventContext context;

  ProvenOverQuota(EventContext context) {
    this.context = context;
  }

  boolean isProven(QuotaCharge charge) {
    SlidingWindowQuota quota = charge.quota();
    long nowMicros = context.nowMicros();
    WindowCounter previous = quota.previous();
    WindowCounter current = quota.current();
    double previousUnits = Math.max(previous.totalUnits(), previous.sentUnits());
    double currentUnits = Math.max(current.totalUnits(), current.sentUnits());
    return switch (quota.kind()) {
      case RATE ->
          quota.bucket().maxLevelUnits(nowMicros) < charge.units()
              && quota.estimate(previousUnits, currentUnits, nowMicros) >= quota.limitUnits();
      case CONCURRENCY -> currentUnits >= concurrencyLimit(charge, nowMicros);
      case CEILING ->
          quota.estimate(previous.sentUnits(), current.sentUnits(), nowMicros)
              >= quota.limitUnits();
    };
  }

  static double concurrencyLimit(QuotaCharge charge, long nowMicros) {
    SlidingWindowQuota quota = charge.quota();
    return ConcurrencyCap.limitAttempts(
        quota.limitUnits(),
        quota.windowMicros(),
        charge.request().requestClass().meanLatencyMicros(),
        nowMicros);
  }
}
