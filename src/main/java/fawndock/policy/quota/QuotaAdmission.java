package fawndock.policy.quota;

import fawndock.policy.EventContext;
import fawndock.policy.PendingRequest;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.deadline.Deadlines;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.PolicyTimer;
import java.util.SplittableRandom;

/**
 * Checks a request against its quotas: calls the counter, waits for the totals and decides. Each
 * step is a separate rule in this package.
 */
public final class QuotaAdmission {
  private static final QuotaKind[] KINDS = QuotaKind.values();
  private static final QuotaKind[] NO_KINDS = {};

  private final EventContext context;
  private final Deadlines deadlines;
  private final boolean settlesUnits;
  private final QuotaKind[] kinds;
  private final QuotaTable quotas;
  private final CounterCalls calls;
  private final CounterThrottle throttle;
  private final PendingAdds pendingAdds;
  private final OverQuotaRisk risk;
  private final ProvenOverQuota provenOverQuota;
  private final PreviousWindowEstimate previousWindowEstimate;
  private final OverQuotaRule overQuotaRule;
  private final QuotaCharging charging;
  private final RequestCounterCalls requestCalls;

  /** Creates the quota rules, which draw from the random source shared by the whole policy. */
  public QuotaAdmission(
      EventContext context,
      SplittableRandom random,
      PolicyConfig config,
      Deadlines deadlines,
      long maxLatencyObjectiveMicros) {
    this.context = context;
    this.deadlines = deadlines;
    this.settlesUnits = config.counter().settlesUnits();
    this.kinds = config.counter().isPresent() ? KINDS : NO_KINDS;
    this.calls = new CounterCalls(context);
    this.throttle = new CounterThrottle(context, random, calls, config);
    this.pendingAdds = new PendingAdds(context, random, calls, throttle);
    this.quotas =
        new QuotaTable(
            context,
            maxLatencyObjectiveMicros,
            config.limits().maxQuotaBytes(),
            throttle,
            pendingAdds::forget);
    this.risk = new OverQuotaRisk(context);
    this.provenOverQuota = new ProvenOverQuota(context);
    this.previousWindowEstimate = new PreviousWindowEstimate(context, throttle);
    this.overQuotaRule = new OverQuotaRule(context, throttle, risk, previousWindowEstimate);
    this.charging = new QuotaCharging(throttle, risk, provenOverQuota, calls, pendingAdds);
    this.requestCalls = new RequestCounterCalls(throttle, calls, charging);
  }

  /**
   * Charges a new request to its quotas and calls the counter unless throttling skips the call.
   * Returns the decision, or an undecided one if the request waits for the counter. A request is
   * rejected if its quota is new and there is no memory for it.
   */
  public QuotaDecision startCheck(PendingRequest request) {
    for (QuotaKind kind : kinds) {
      if (!kind.isSetBy(request.plan())) {
        continue;
      }
      SlidingWindowQuota quota = quotas.findOrCreate(request, kind);
      if (quota == null) {
        return QuotaDecision.rejected(RetryAfter.UNTIL_MEMORY_IS_FREE_MICROS);
      }
      QuotaCharge charge = recordDemandAndCharge(request, quota);
      request.putCharge(kind, charge);
      if (throttle.isThrottled()
          && !throttle.isCounterUnreachable()
          && provenOverQuota.isProven(charge)) {
        return QuotaDecision.rejected(RetryAfter.untilQuotaMicros(charge, context.nowMicros()));
      }
    }
    requestCalls.callCounters(request);
    if (request.pendingCounterCalls() == 0 || throttle.isCounterUnreachable()) {
      return decide(request);
    }
    context.scheduleAt(
        context.nowMicros() + deadlines.counterWaitMicros(request),
        new PolicyTimer.CounterWaitTimeout(request.id()));
    return QuotaDecision.UNDECIDED;
  }

  private QuotaCharge recordDemandAndCharge(PendingRequest request, SlidingWindowQuota quota) {
    boolean isConcurrency = quota.kind() == QuotaKind.CONCURRENCY;
    double units = isConcurrency ? 1 : request.request().units();
    double limitUnits =
        quota.limitUnits()
            * (isConcurrency
                ? quota.windowMicros() / request.requestClass().meanLatencyMicros()
                : 1);
    int instanceCount = request.request().customerInstanceCount();
    int demandLevel = quota.demand().record(units, limitUnits, instanceCount, context.nowMicros());
    return new QuotaCharge(request, quota, units, demandLevel);
  }

  /** Handles the end of a counter call; returns the call, or null if none was in flight. */
  public CounterCall onCounterReply(CounterReply reply) {
    CounterCall call = calls.complete(reply.counterName());
    if (call == null) {
      return null;
    }
    WindowCounter counter = call.counter();
    boolean isClosingRead = counter.closingReadInFlight() == call;
    throttle.recordReply(reply);
    if (isClosingRead) {
      counter.setClosingReadInFlight(null);
    }
    if (hasTotal(reply)) {
      if (isClosingRead) {
        counter.markReadAfterClose();
      }
      boolean hasLostAdds = counter.applyTotal(call.addedUnits(), reply.total());
      // If a restore shows losses too, they wait for the next call. Otherwise a counter that keeps
      // losing additions would be called in an endless loop.
      if (hasLostAdds && !call.isRestore()) {
        calls.sendRestore(counter);
      }
    } else if (!reply.result().mayHaveTakenEffect) {
      pendingAdds.add(counter, call.addedUnits()); // The counter did not add them.
    }
    return call;
  }

  private static boolean hasTotal(CounterReply reply) {
    return reply.result() == CallResult.OK && Double.isFinite(reply.total());
  }

  /**
   * Handles the end of a call for one request that waited for it; returns the decision, or an
   * undecided one if the request still waits or was decided before.
   */
  public QuotaDecision onCallCompleted(
      CounterCall call, CounterReply reply, PendingRequest request) {
    if (hasTotal(reply)) {
      applyTotal(call, request);
    }
    request.onCounterCallCompleted();
    if (request.pendingCounterCalls() > 0 || request.isQuotaDecided()) {
      return QuotaDecision.UNDECIDED;
    }
    QuotaCharge rateCharge = request.charge(QuotaKind.RATE);
    if (rateCharge != null
        && !throttle.isThrottledOrRecovering()
        && previousWindowEstimate.couldChangeDecision(rateCharge)) {
      requestCalls.readPreviousWindow(rateCharge);
    }
    return request.pendingCounterCalls() == 0 ? decide(request) : QuotaDecision.UNDECIDED;
  }

  private void applyTotal(CounterCall call, PendingRequest request) {
    WindowCounter counter = call.counter();
    SlidingWindowQuota quota = counter.quota();
    QuotaCharge charge = request.charge(quota.kind());
    if (charge.counter() != counter || charge.isTotalKnown()) {
      return;
    }
    charge.setTotalBeforeUnits(counter.totalUnits() - call.requestUnits());
    if (quota.kind() == QuotaKind.RATE
        && charge.isInCurrentWindow()
        && quota.tokenBucket().isInitialized()) {
      quota
          .tokenBucket()
          .update(
              charge.totalBeforeUnits(), quota.previousCounter().totalUnits(), context.nowMicros());
    }
  }

  /** Decides with the totals that are known now. */
  public QuotaDecision decide(PendingRequest request) {
    QuotaCharge overQuota = null;
    for (QuotaCharge charge : request.charges()) {
      if (overQuotaRule.isOverQuota(charge)) {
        overQuota = charge;
      }
    }
    if (overQuota != null) {
      return QuotaDecision.rejected(RetryAfter.untilQuotaMicros(overQuota, context.nowMicros()));
    }
    for (QuotaCharge charge : request.charges()) {
      charging.countAdmitted(charge);
    }
    return QuotaDecision.ADMITTED;
  }

  /**
   * Returns the expected loss from forwarding a request whose total is unknown, as a ratio of the
   * value of a request within quota; 0 if the decision is certain.
   */
  public double expectedLossRatio(PendingRequest request) {
    QuotaCharge rateCharge = request.charge(QuotaKind.RATE);
    boolean isCertain = rateCharge == null || !throttle.isThrottled() || rateCharge.isTotalKnown();
    return isCertain ? 0 : risk.expectedLossRatio(rateCharge);
  }

  /** Records that a request is forwarded for the first time. */
  public void recordForwarded(PendingRequest request) {
    charging.recordForwarded(request);
  }

  /** Ends the charges of a request; withdraws what was added for it unless it was forwarded. */
  public void release(PendingRequest request) {
    charging.release(request);
  }

  /** Records the units settled by a successful response, if settlement is enabled. */
  public void settle(PendingRequest request, double settledUnits) {
    if (settlesUnits) {
      charging.settle(request, settledUnits);
    }
  }

  /** Sends the units that are still pending for a counter. */
  public void flushPendingAdds(String counterName) {
    pendingAdds.flush(counterName);
  }
}
