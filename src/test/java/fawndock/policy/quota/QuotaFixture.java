package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.Idempotency;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.TimerFired;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A gateway with a plan of one unit per second and a burst of four, and a fake counter. */
public abstract class QuotaFixture {
  /** The totals of a fake counter that replies at once, by counter name. */
  protected final Map<String, Double> counter = new LinkedHashMap<>();

  protected final PolicyHarness harness =
      new PolicyHarness(
          PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true),
          "a",
          "b");

  protected List<PolicyAction> replyToCounterCalls(List<PolicyAction> actions) {
    return replyToCounterCalls(harness, actions);
  }

  protected List<PolicyAction> replyToCounterCalls(
      PolicyHarness gateway, List<PolicyAction> actions) {
    List<PolicyAction> allActions = new ArrayList<>(actions);
    for (AddToCounter add : allOf(AddToCounter.class, actions)) {
      double total = counter.merge(add.counterName(), add.amount(), Double::sum);
      allActions.addAll(
          replyToCounterCalls(
              gateway,
              gateway.onEvent(new CounterReply(add.counterName(), CallResult.OK, total, 1_000))));
    }
    return allActions;
  }

  /**
   * Advances the time until a call of its own sends what is pending for a counter; returns that
   * call.
   */
  protected AddToCounter awaitFlush(String name) {
    for (int i = 0; i < 50; i++) {
      harness.nowMicros += 10_000;
      List<AddToCounter> flushedAdds =
          allOf(
              AddToCounter.class,
              harness.onEvent(new TimerFired(new PolicyTimer.FlushPendingAdds(name))));
      if (!flushedAdds.isEmpty()) {
        return flushedAdds.get(0);
      }
    }
    throw new AssertionError("no call was sent for counter " + name);
  }

  /** Sheds counter calls until the gateway is throttled to a low sampling rate. */
  protected void throttle(PolicyHarness gateway) {
    for (long id = 1000; id < 1100; id++) {
      List<PolicyAction> actions =
          new ArrayList<>(gateway.onEvent(request(gateway, id, "throttle" + id)));
      for (AddToCounter add : allOf(AddToCounter.class, actions)) {
        actions.addAll(
            gateway.onEvent(new CounterReply(add.counterName(), CallResult.SHED, 0, 500)));
      }
      allOf(StartAttempt.class, actions)
          .forEach(
              attempt ->
                  gateway.completeAttempt(
                      attempt.requestId(), 0, attempt.endpointId(), CallResult.OK, true));
    }
  }

  protected static RequestArrived request(PolicyHarness gateway, long id, String customer) {
    return new RequestArrived(
        id,
        "class",
        "plan",
        customer,
        gateway.nowMicros + 3 * PolicyHarness.SECOND_MICROS,
        1,
        2,
        0,
        false);
  }
}
