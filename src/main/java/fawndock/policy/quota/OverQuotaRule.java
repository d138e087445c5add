package fawndock.policy.quota;

import fawndock.policy.EventContext;

/**
 * Decides whether a request is over one of its quotas, by the counter's total or, if there is none,
 * by the estimated risk.
 */
final class OverQuotaRule {
  private final EventContext context;
  private final CounterThrottle throttle;
  private final OverQuotaRisk risk;
  private final PreviousWindowEstimate previousWindowEstimate;

  OverQuotaRule(
      EventContext context,
      CounterThrottle throttle,
      OverQuotaRisk risk,
      PreviousWindowEstimate previousWindowEstimate) {
    this.context = context;
    this.throttle = throttle;
    this.risk = risk;
    this.previousWindowEstimate = previousWindowEstimate;
  }

  boolean isOverQuota(QuotaCharge charge) {
    if (!charge.isTotalKnown()) {
      return shouldRejectWithoutTotal(charge);
    }
    boolean isOverQuota = isOverByTotal(charge);
    risk.record(charge, isOverQuota);
    return isOverQuota;
  }

  private boolean isOverByTotal(QuotaCharge charge) {
    SlidingWindowQuota quota = charge.quota();
    long nowMicros = context.nowMicros();
    double previousUnits =
        charge.isInCurrentWindow()
            ? previousWindowEstimate.usedUnits(charge)
            : quota.currentCounter().totalUnits();
    double totalUnits = charge.totalBeforeUnits();
    return switch (quota.kind()) {
      case RATE ->
          quota.estimate(previousUnits, totalUnits, nowMicros) >= quota.limitUnits()
              && !tryTakeFromBucket(charge);
      case CONCURRENCY -> totalUnits >= ProvenOverQuota.concurrencyLimit(charge, nowMicros);
      case CEILING -> previousUnits + totalUnits + charge.units() > quota.limitUnits();
    };
  }

  // After a burst, the sliding-window estimate stays at the limit while the plan's token bucket
  // refills. This may admit too much if requests that a peer forwarded were not counted.
  private boolean tryTakeFromBucket(QuotaCharge charge) {
    SlidingWindowQuota quota = charge.quota();
    if (!charge.isInCurrentWindow()) {
      return false;
    }
    long nowMicros = context.nowMicros();
    double totalUnits = charge.totalBeforeUnits();
    double previousUnits = quota.previousCounter().totalUnits();
    TokenBucketReplay tokenBucket = quota.tokenBucket();
    if (tokenBucket.isInitialized()) {
      tokenBucket.update(totalUnits, previousUnits, nowMicros);
    } else {
      double estimateUnits =
          quota.estimate(previousWindowEstimate.usedUnits(charge), totalUnits, nowMicros);
      tokenBucket.initialize(estimateUnits, totalUnits, previousUnits, nowMicros);
    }
    if (tokenBucket.availableUnits() < charge.units()) {
      return false;
    }
    tokenBucket.take(charge.units());
    return true;
  }

  // If the counter is unreachable, or a call failed without throttling, the request is admitted.
  // While calls are throttled, it is admitted if the expected loss is low enough.
  private boolean shouldRejectWithoutTotal(QuotaCharge charge) {
    if (charge.quota().kind() != QuotaKind.CEILING) {
      return throttle.isThrottled() && !throttle.isCounterUnreachable() && risk.isTooHigh(charge);
    }
    double instanceCount = Math.max(1, charge.request().request().customerInstanceCount());
    return !charge
        .quota()
        .localTokenBucket()
        .tryTake(charge.units(), instanceCount, throttle.lastReplyAtMicros(), context.nowMicros());
  }
}
