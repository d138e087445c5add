package fawndock.policy.quota;

import fawndock.policy.EventContext;

/**
 * The previous window's use. Where throttling keeps it from being read and no total of it is known,
 * it is estimated from the current one and a prior: an instance that sees a customer once in many
 * windows would otherwise miss half of its use. May reject a customer that just began.
 */
final class PreviousWindowEstimate {
  /** Weight of the prior, in windows. */
  private static final double PRIOR_WEIGHT_WINDOWS = 0.5;

  /** Use that the prior assumes, as a ratio of the limit. */
  private static final double PRIOR_USAGE_RATIO = 0.7;

  private final EventContext context;
  private final CounterThrottle throttle;

  PreviousWindowEstimate(EventContext context, CounterThrottle throttle) {
    this.context = context;
    this.throttle = throttle;
  }

  /** Units used in the window before the one in which the request arrived. */
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

  /** Whether its total could tip the verdict: it holds the limit and a refilled burst at most. */
  boolean couldChangeDecision(QuotaCharge charge) {
    SlidingWindowQuota quota = charge.quota();
    return charge.isInCurrentWindow()
        && charge.isTotalKnown()
        && quota.estimate(2 * quota.limitUnits(), charge.totalBeforeUnits(), context.nowMicros())
            >= quota.limitUnits();
  }
}
