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

/** One instance of a large fleet, which receives few requests. */
abstract class LargeFleetFixture {
  protected static final int FLEET_SIZE = 570;
  protected final PolicyHarness harness = new PolicyHarness(fleetConfig(), "a", "b");
  protected long lastRequestId;

  protected static PolicyConfig fleetConfig() {
    PolicyConfig defaults =
        PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, false);
    return new PolicyConfig(
        0,
        FLEET_SIZE,
        defaults.randomSeed(),
        defaults.roundTripMicros(),
        defaults.zone(),
        false,
        defaults.requestClasses(),
        defaults.plans(),
        defaults.limits(),
        defaults.rules(),
        defaults.counter());
  }

  protected List<PolicyAction> request(PolicyHarness gateway, String customer) {
    return gateway.onEvent(
        new RequestArrived(
            ++lastRequestId,
            "class",
            "plan",
            customer,
            gateway.nowMicros + 3 * PolicyHarness.SECOND_MICROS,
            1,
            FLEET_SIZE,
            0,
            false));
  }

  /**
   * Sends requests of different customers, ends each counter call with the result, and returns how
   * many requests called the counter.
   */
  protected int countCalls(int requestCount, long intervalMicros, CallResult result) {
    int calls = 0;
    for (int i = 0; i < requestCount; i++) {
      harness.nowMicros += intervalMicros;
      List<AddToCounter> adds =
          allOf(AddToCounter.class, request(harness, "customer" + lastRequestId));
      calls += adds.isEmpty() ? 0 : 1;
      for (AddToCounter add : adds) {
        harness.onEvent(
            new CounterReply(
                add.counterName(), result, add.amount(), result == CallResult.OK ? 1_000 : 50_000));
      }
    }
    return calls;
  }
}
