package fawndock.policy.quota;

import fawndock.policy.PendingRequest;

/** What is added to the counters for a request, and what is taken back. */
final class QuotaCharging {
  /** The most that one counted request may add, as a ratio of the limit. */
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
   * What a request's call adds. A likely rejection only reads: most would take their add back. One
   * that would be forwarded uncounted adds also for the uncounted requests that it stands for, so
   * that the count stays right in the mean at any sampling rate.
   *
   * @param callChance the chance that a request calls the counter
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

  /** Notes that a request is forwarded. */
  void recordForwarded(PendingRequest request) {
    for (QuotaCharge charge : request.charges()) {
      charge.counter().recordForwarded(charge.units());
    }
  }

  /** Takes back what was added for a request that was never forwarded. */
  void release(PendingRequest request) {
    if (!request.attempts().isEmpty()) {
      return;
    }
    for (QuotaCharge charge : request.charges()) {
      if (charge.countedUnits() > 0) {
        charge.counter().reduceTotal(charge.countedUnits());
        pendingAdds.add(charge.counter(), -charge.countedUnits());
        charge.setCountedUnits(0);
      }
    }
  }

  /** Adds the difference between the units that an answer settled and those of the request. */
  void settle(PendingRequest request, double settledUnits) {
    QuotaCharge charge = request.charge(QuotaKind.RATE);
    if (settledUnits > 0 && charge != null && charge.countedUnits() > 0) {
      pendingAdds.add(charge.counter(), settledUnits - request.request().units());
    }
  }
}
