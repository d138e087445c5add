package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.RequestArrived;
import java.util.List;

/** One of very many instances, which has a request nowMicros and then. */
abstract class LargeFleetFixture {
  protected static final int FLEET = 570;
  protected final PolicyHarness harness = new PolicyHarness(settings(), "a", "b");
  protected long id;

  protected static PolicyConfig settings() {
    PolicyConfig s =
        PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, false);
    return new PolicyConfig(
        0,
        FLEET,
        s.randomSeed(),
        s.roundTripMicros(),
        s.zone(),
        false,
        s.requestClasses(),
        s.plans(),
        s.limits(),
        s.rules(),
        s.counter());
  }

  protected List<PolicyAction> request(PolicyHarness on, String customer) {
    return on.onEvent(
        new RequestArrived(
            ++id,
            "class",
            "plan",
            customer,
            on.nowMicros + 3 * PolicyHarness.SECOND_MICROS,
            1,
            FLEET,
            0,
            false));
  }

  /** How many of so many requests call the counter, with this result of each call. */
  protected int countCalls(int requests, long apart, CallResult result) {
    int calls = 0;
    for (int i = 0; i < requests; i++) {
      harness.nowMicros += apart;
      List<AddToCounter> counts = allOf(AddToCounter.class, request(harness, "customer" + id));
      calls += counts.isEmpty() ? 0 : 1;
      for (AddToCounter c : counts) {
        harness.onEvent(
            new CounterReply(
                c.counterName(), result, c.amount(), result == CallResult.OK ? 1_000 : 50_000));
      }
    }
    return calls;
  }
}
