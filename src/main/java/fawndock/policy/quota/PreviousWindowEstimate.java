package fawndock.policy.quota;

import fawndock.policy.EventContext;

/**
 * The previous window's use. Where throttling keeps it from being read and no total of it is known,
 * it is estimated from the current one and a prior: an instance that sees a customer once in many
 * windows would otherwise miss half of its use. May reject a customer that just began.
 */
final class PreviousWindowEstimate {
  /** Weight of the prior, in windows. */
  private static final double PRIOR_WINDOWS = 0.5;

  /** Use that the prior assumes, as a ratio of the limit. */
  private static final double PRIOR_USE_RATIO = 0.7;

  private final EventContext context;
  private final CounterThrottle throttle;

  PreviousWindowEstimate(EventContext context, CounterThrottle throttle) {
    this.context = context;
    this.throttle = throttle;
  }

  /** Units used in the window before the one in which the request arrived. */
  double units(QuotaCharge charge) {
    SlidingWindowQuota quota = charge.quota();
    WindowCounter previous = quota.previous();
    if (previous.isTotalKnown()
        || !throttle.isThrottledOrRecovering()
        || quota.kind() != QuotaKind.RATE) {
      return previous.totalUnits();
    }
    long windowMicros = quota.windowMicros();
    double elapsedWindows = (double) (context.nowMicros() % windowMicros) / windowMicros;
    double priorUnits = PRIOR_WINDOWS * PRIOR_USE_RATIO * quota.limitUnits();
    return Math.max(
        previous.totalUnits(),
        (charge.totalBeforeUnits() + priorUnits) / (elapsedWindows + PRIOR_WINDOWS));
  }

  /** Whether its total could tip the verdict: it holds the limit and a refilled burst at most. */
  boolean canTipVerdict(QuotaCharge charge) {
    SlidingWindowQuota quota = charge.quota();
    return charge.isInCurrentWindow()
        && charge.isTotalKnown()
        && quota.estimate(2 * quota.limitUnits(), charge.totalBeforeUnits(), context.nowMicros())
            >= quota.limitUnits();
  }
}
