package fawndock.policy.quota;

import fawndock.policy.EventContext;

/**
 * Decides whether a quota is certainly used up, from the totals read or the units that this
 * instance forwarded: totals only grow within a window. It may reject requests for up to a window
 * after peers withdrew their additions.
 */
final class ProvenOverQuota {
  private final EventContext context;

  ProvenOverQuota(EventContext context) {
    this.context = context;
  }

  boolean isProven(QuotaCharge charge) {
    SlidingWindowQuota quota = charge.quota();
    long nowMicros = context.nowMicros();
    WindowCounter previousCounter = quota.previousCounter();
    WindowCounter currentCounter = quota.currentCounter();
    double previousUnits = Math.max(previousCounter.totalUnits(), previousCounter.forwardedUnits());
    double currentUnits = Math.max(currentCounter.totalUnits(), currentCounter.forwardedUnits());
    return switch (quota.kind()) {
      case RATE ->
          quota.tokenBucket().maxAvailableUnits(nowMicros) < charge.units()
              && quota.estimate(previousUnits, currentUnits, nowMicros) >= quota.limitUnits();
      case CONCURRENCY -> currentUnits >= concurrencyLimit(charge, nowMicros);
      case CEILING ->
          quota.estimate(
                  previousCounter.forwardedUnits(), currentCounter.forwardedUnits(), nowMicros)
              >= quota.limitUnits();
    };
  }

  static double concurrencyLimit(QuotaCharge charge, long nowMicros) {
    SlidingWindowQuota quota = charge.quota();
    return ConcurrencyCap.maxStartedAttempts(
        quota.limitUnits(),
        quota.windowMicros(),
        charge.request().requestClass().meanLatencyMicros(),
        nowMicros);
  }
}
