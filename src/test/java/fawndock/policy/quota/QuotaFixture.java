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
  /** A counter that answers at once. */
  protected final Map<String, Double> counter = new LinkedHashMap<>();

  protected final PolicyHarness harness =
      new PolicyHarness(
          PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true),
          "a",
          "b");

  protected List<PolicyAction> answerCalls(List<PolicyAction> actions) {
    return answerCalls(harness, actions);
  }

  protected List<PolicyAction> answerCalls(PolicyHarness on, List<PolicyAction> actions) {
    List<PolicyAction> all = new ArrayList<>(actions);
    for (AddToCounter c : allOf(AddToCounter.class, actions)) {
      double total = counter.merge(c.counterName(), c.amount(), Double::sum);
      all.addAll(
          answerCalls(
              on, on.onEvent(new CounterReply(c.counterName(), CallResult.OK, total, 1_000))));
    }
    return all;
  }

  /** Lets time pass until what is pending for a counter is sent by a call of its own. */
  protected AddToCounter flushedAdd(String name) {
    for (int i = 0; i < 50; i++) {
      harness.nowMicros += 10_000;
      List<AddToCounter> sent =
          allOf(
              AddToCounter.class,
              harness.onEvent(new TimerFired(new PolicyTimer.FlushPendingAdds(name))));
      if (!sent.isEmpty()) {
        return sent.get(0);
      }
    }
    throw new AssertionError("nothing was sent for " + name);
  }

  /** Sheds calls until the gateway calls the counter seldom. */
  protected void throttle(PolicyHarness on) {
    for (long id = 1000; id < 1100; id++) {
      List<PolicyAction> actions = new ArrayList<>(on.onEvent(request(on, id, "throttle" + id)));
      for (AddToCounter c : allOf(AddToCounter.class, actions)) {
        actions.addAll(on.onEvent(new CounterReply(c.counterName(), CallResult.SHED, 0, 500)));
      }
      allOf(StartAttempt.class, actions)
          .forEach(a -> on.completeAttempt(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
    }
  }

  protected static RequestArrived request(PolicyHarness on, long id, String customer) {
    return new RequestArrived(
        id,
        "class",
        "plan",
        customer,
        on.nowMicros + 3 * PolicyHarness.SECOND_MICROS,
        1,
        2,
        0,
        false);
  }
}
