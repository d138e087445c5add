package fawndock.policy.quota;

import fawndock.policy.EventContext;

/**
 * Estimates the units used in the previous window. If throttling keeps its total from being read
 * and none is known, the estimate combines the current window with a prior: an instance that
 * receives a customer's request only once in many windows would otherwise miss half of the
 * customer's usage. It may reject a customer that has just begun to send requests.
 */
final class PreviousWindowEstimate {
  /** Weight of the prior, in windows. */
  private static final double PRIOR_WEIGHT_WINDOWS = 0.5;

  /** Usage that the prior assumes, as a ratio of the limit. */
  private static final double PRIOR_USAGE_RATIO = 0.7;

  private final EventContext context;
  private final CounterThrottle throttle;

  PreviousWindowEstimate(EventContext context, CounterThrottle throttle) {
    this.context = context;
    this.throttle = throttle;
  }

  /** Returns the units used in the window before the one in which the request arrived. */
  double usedUnits(QuotaCharge charge) {
    SlidingWindowQuota quota = charge.quota();
    WindowCounter previousCounter = quota.previousCounter();
    if (previousCounter.isTotalKnown()
        || !throttle.isThrottledOrRecovering()
        || quota.kind() != QuotaKind.RATE) {
      return previousCounter.totalUnits();
    }
    long windowMicros = quota.windowMicros();
    double elapsedWindows = (double) (context.nowMicros() % windowMicros) / windowMicros;
    double priorUnits = PRIOR_WEIGHT_WINDOWS * PRIOR_USAGE_RATIO * quota.limitUnits();
    return Math.max(
        previousCounter.totalUnits(),
        (charge.totalBeforeUnits() + priorUnits) / (elapsedWindows + PRIOR_WEIGHT_WINDOWS));
  }

  /**
   * Returns whether the previous window's total could change the decision. That total is at most
   * twice the limit: the limit and a refilled burst.
   */
  boolean couldChangeDecision(QuotaCharge charge) {
    SlidingWindowQuota quota = charge.quota();
    return charge.isInCurrentWindow()
        && charge.isTotalKnown()
        && quota.estimate(2 * quota.limitUnits(), charge.totalBeforeUnits(), context.nowMicros())
            >= quota.limitUnits();
  }
}
