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

/** Adds and estimates of an instance that has few requests. */
class LargeFleetQuotaTest extends LargeFleetFixture {
  @Test
  void probe_addsForItselfAlone() {
    assertEquals(
        1.0,
        single(AddToCounter.class, request(harness, "one")).amount(),
        "not for the 71 that the sampling rate would leave uncounted");
  }

  @Test
  void withdrawal_sentAtOnceWhereNoCallIsExpected() {
    PolicyHarness few =
        new PolicyHarness(
            PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, false),
            "a",
            "b");
    AddToCounter add = single(AddToCounter.class, request(few, "one"));
    AddToCounter before =
        single(
            AddToCounter.class,
            few.onEvent(new CounterReply(add.counterName(), CallResult.OK, 6, 1_000)));
    List<PolicyAction> actions =
        few.onEvent(new CounterReply(before.counterName(), CallResult.OK, 0, 1_000));
    assertEquals(1, allOf(RejectRequest.class, actions).size());
    assertEquals(-1.0, single(AddToCounter.class, actions).amount());
    PolicyHarness many =
        new PolicyHarness(
            PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, false),
            "a",
            "b");
    for (int i = 0;
        i < 40;
        i++) { // None of them is sent on, so nothing is proven and each one adds.
      add =
          single(
              AddToCounter.class,
              many.onEvent(
                  new RequestArrived(
                      ++id,
                      "class",
                      "plan",
                      "one",
                      many.nowMicros + 3 * PolicyHarness.SECOND_MICROS,
                      1,
                      1,
                      0,
                      false)));
    }
    before =
        single(
            AddToCounter.class,
            many.onEvent(new CounterReply(add.counterName(), CallResult.OK, 60, 1_000)));
    actions = many.onEvent(new CounterReply(before.counterName(), CallResult.OK, 0, 1_000));
    assertEquals(1, allOf(RejectRequest.class, actions).size());
    assertEquals(List.of(), allOf(AddToCounter.class, actions), "it rides with the next");
  }

  @Test
  void throttledAndPreviousWindowUnread_takenToBeLikeTheCurrentOne() {
    for (double before : new double[] {3.2, 0.8}) { // Of a limit of 4, half of the window gone.
      PolicyHarness on = new PolicyHarness(settings(), "a", "b");
      AddToCounter lost = single(AddToCounter.class, request(on, "other"));
      on.onEvent(new CounterReply(lost.counterName(), CallResult.TIMEOUT, 0, 50_000));
      on.nowMicros += 6 * PolicyHarness.SECOND_MICROS;
      AddToCounter add = single(AddToCounter.class, request(on, "one"));
      List<PolicyAction> actions =
          on.onEvent(
              new CounterReply(add.counterName(), CallResult.OK, before + add.amount(), 1_000));
      assertEquals(
          before > 1 ? 1 : 0, allOf(RejectRequest.class, actions).size(), "before " + before);
    }
  }
}
