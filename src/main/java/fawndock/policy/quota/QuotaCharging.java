package fawndock.policy.quota;

import fawndock.policy.PendingRequest;

/** Determines the units that are added to the counters for a request, and withdraws them. */
final class QuotaCharging {
  /** Maximum that one counted request may add, as a ratio of the limit. */
  private static final double MAX_ADD_LIMIT_RATIO = 1;

  private final CounterThrottle throttle;
  private final OverQuotaRisk risk;
  private final ProvenOverQuota provenOverQuota;
  private final CounterCalls calls;
  private final PendingAdds pendingAdds;

  QuotaCharging(
      CounterThrottle throttle,
      OverQuotaRisk risk,
      ProvenOverQuota provenOverQuota,
      CounterCalls calls,
      PendingAdds pendingAdds) {
    this.throttle = throttle;
    this.risk = risk;
    this.provenOverQuota = provenOverQuota;
    this.calls = calls;
    this.pendingAdds = pendingAdds;
  }

  /**
   * Returns the units that a request's call adds. If the request is likely to be rejected, the call
   * only reads, since most such requests would withdraw their addition. If the request would be
   * forwarded even without a call, it also adds for the uncounted requests that it represents, so
   * that the expected count is correct at any sampling rate.
   *
   * @param callProbability the probability that a request calls the counter
   */
  double unitsToAdd(QuotaCharge charge, double callProbability) {
    SlidingWindowQuota quota = charge.quota();
    if (quota.kind() == QuotaKind.CEILING || throttle.isCounterUnreachable()) {
      return charge.units();
    }
    if (provenOverQuota.isProven(charge) || risk.isTooHigh(charge)) {
      return 0;
    }
    return Math.min(
        charge.units() / callProbability,
        Math.max(charge.units(), quota.limitUnits() * MAX_ADD_LIMIT_RATIO));
  }

  /**
   * Counts an admitted request whose call added nothing, or which made no call although calls are
   * not throttled.
   */
  void countAdmitted(QuotaCharge charge) {
    if (charge.countedUnits() > 0) {
      return;
    }
    if (charge.isTotalKnown()) {
      charge.setCountedUnits(charge.units());
      calls.send(charge.counter(), charge.units());
    } else if (!throttle.isThrottled()) {
      charge.setCountedUnits(charge.units());
      pendingAdds.add(charge.counter(), charge.units());
    }
  }

  /** Records that a request is forwarded. */
  void recordForwarded(PendingRequest request) {
    for (QuotaCharge charge : request.charges()) {
      charge.counter().recordForwarded(charge.units());
    }
  }

  /**
   * Ends the charges of a request, and withdraws what was added for it unless it was forwarded.
   * Idempotent.
   */
  void release(PendingRequest request) {
    boolean isForwarded = !request.attempts().isEmpty();
    for (QuotaCharge charge : request.charges()) {
      if (!isForwarded && charge.countedUnits() > 0) {
        charge.counter().reduceTotal(charge.countedUnits());
        pendingAdds.add(charge.counter(), -charge.countedUnits());
        charge.setCountedUnits(0);
      }
      charge.end();
    }
  }

  /** Adds the difference between the units that a response settled and those of the request. */
  void settle(PendingRequest request, double settledUnits) {
    QuotaCharge charge = request.charge(QuotaKind.RATE);
    if (settledUnits > 0 && charge != null && charge.countedUnits() > 0) {
      pendingAdds.add(charge.counter(), settledUnits - request.request().units());
    }
  }
}
