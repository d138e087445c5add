package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;
import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertEquals;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.config.Idempotency;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.RequestArrived;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the additions and estimates of an instance that has few requests. */
class LargeFleetQuotaTest extends LargeFleetFixture {
  @Test
  void probe_addsOnlyItsOwnUnits() {
    assertEquals(
        1.0,
        single(AddToCounter.class, request(harness, "one")).amount(),
        "not for the 71 requests that sampling would leave uncounted");
  }

  @Test
  void withdrawal_isSentAtOnceIfNoCallIsExpected() {
    PolicyHarness lowDemandGateway =
        new PolicyHarness(
            PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, false),
            "a",
            "b");
    AddToCounter add = single(AddToCounter.class, request(lowDemandGateway, "one"));
    AddToCounter previousRead =
        single(
            AddToCounter.class,
            lowDemandGateway.onEvent(new CounterReply(add.counterName(), CallResult.OK, 6, 1_000)));
    List<PolicyAction> actions =
        lowDemandGateway.onEvent(
            new CounterReply(previousRead.counterName(), CallResult.OK, 0, 1_000));
    assertEquals(1, allOf(RejectRequest.class, actions).size());
    assertEquals(-1.0, single(AddToCounter.class, actions).amount());
    PolicyHarness highDemandGateway =
        new PolicyHarness(
            PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, false),
            "a",
            "b");
    for (int i = 0; i < 40; i++) {
      // No request is forwarded, so the quota is not proven used up and each request adds.
      add =
          single(
              AddToCounter.class,
              highDemandGateway.onEvent(
                  new RequestArrived(
                      ++lastRequestId,
                      "class",
                      "plan",
                      "one",
                      highDemandGateway.nowMicros + 3 * PolicyHarness.SECOND_MICROS,
                      1,
                      1,
                      0,
                      false)));
    }
    previousRead =
        single(
            AddToCounter.class,
            highDemandGateway.onEvent(
                new CounterReply(add.counterName(), CallResult.OK, 60, 1_000)));
    actions =
        highDemandGateway.onEvent(
            new CounterReply(previousRead.counterName(), CallResult.OK, 0, 1_000));
    assertEquals(1, allOf(RejectRequest.class, actions).size());
    assertEquals(
        List.of(), allOf(AddToCounter.class, actions), "the withdrawal waits for the next call");
  }

  @Test
  void throttledAndPreviousWindowNotRead_isEstimatedFromCurrentWindow() {
    for (double totalBefore : new double[] {3.2, 0.8}) {
      // The limit is 4, and half of the window has passed.
      PolicyHarness gateway = new PolicyHarness(fleetConfig(), "a", "b");
      AddToCounter timedOutAdd = single(AddToCounter.class, request(gateway, "other"));
      gateway.onEvent(new CounterReply(timedOutAdd.counterName(), CallResult.TIMEOUT, 0, 50_000));
      gateway.nowMicros += 6 * PolicyHarness.SECOND_MICROS;
      AddToCounter add = single(AddToCounter.class, request(gateway, "one"));
      List<PolicyAction> actions =
          gateway.onEvent(
              new CounterReply(
                  add.counterName(), CallResult.OK, totalBefore + add.amount(), 1_000));
      assertEquals(
          totalBefore > 1 ? 1 : 0,
          allOf(RejectRequest.class, actions).size(),
          "total before the request: " + totalBefore);
    }
  }
}
