package fawndock.policy;

import static fawndock.policy.PolicyHarness.allOf;
import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.RequestArrived;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What one of very many gatekeepers does, which has a try now and then. */
class LargeFleetTest {
  private static final int FLEET = 570;
  private final PolicyHarness rig = new PolicyHarness(settings(), "a", "b");
  private long id;

  private static PolicyConfig settings() {
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

  private List<PolicyAction> request(PolicyHarness on, String customer) {
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

  /** How many of so many tries are asked, each after a time, with this end of each call. */
  private int asked(int tries, long apart, CallResult result) {
    int asked = 0;
    for (int i = 0; i < tries; i++) {
      rig.nowMicros += apart;
      List<AddToCounter> counts = allOf(AddToCounter.class, request(rig, "customer" + id));
      asked += counts.isEmpty() ? 0 : 1;
      for (AddToCounter c : counts) {
        rig.onEvent(
            new CounterReply(
                c.counterName(), result, c.amount(), result == CallResult.OK ? 1_000 : 50_000));
      }
    }
    return asked;
  }

  @Test
  void aWellCounterIsAskedAboutEachTryFromTheFirstOn() {
    assertEquals(20, asked(20, PolicyHarness.SECOND_MICROS, CallResult.OK));
  }

  @Test
  void whatIsAskedBesideThePaceCountsForItselfAlone() {
    assertEquals(
        1.0,
        single(AddToCounter.class, request(rig, "one")).amount(),
        "not for the 71 that the pace would let go unasked");
  }

  @Test
  void oneCallIsOutAtATimeWhileTheCounterIsNotKnown() {
    assertEquals(1, allOf(AddToCounter.class, request(rig, "one")).size());
    int more = 0;
    for (int i = 0; i < 100; i++) {
      more += allOf(AddToCounter.class, request(rig, "more" + i)).size();
    }
    assertTrue(more < 10, "asked beside the one that is out: " + more);
  }

  @Test
  void failuresMakeItAskEverMoreSeldomAndAnAnswerEndsThat() {
    int first = asked(120, PolicyHarness.SECOND_MICROS / 2, CallResult.TIMEOUT);
    assertTrue(first >= 10 && first < 30, "of 120 in a minute: " + first);
    assertTrue(
        asked(20, PolicyHarness.SECOND_MICROS, CallResult.OK) >= 12,
        "the gap is gone with the first answer");
  }

  @Test
  void callsThatAreTurnedAwayDoNotMakeItAskMoreSeldom() {
    assertEquals(20, asked(20, PolicyHarness.SECOND_MICROS, CallResult.SHED));
  }

  @Test
  void aWithdrawalGoesAtOnceWhereNoCallIsNearThatItCouldRideWith() {
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
    List<PolicyAction> told =
        few.onEvent(new CounterReply(before.counterName(), CallResult.OK, 0, 1_000));
    assertEquals(1, allOf(RejectRequest.class, told).size());
    assertEquals(-1.0, single(AddToCounter.class, told).amount());
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
    told = many.onEvent(new CounterReply(before.counterName(), CallResult.OK, 0, 1_000));
    assertEquals(1, allOf(RejectRequest.class, told).size());
    assertEquals(List.of(), allOf(AddToCounter.class, told), "it rides with the next");
  }

  @Test
  void anUnheardWindowIsTakenToBeLikeThePresentOneInACrowd() {
    for (double before : new double[] {3.2, 0.8}) { // Of a limit of 4, half of the window gone.
      PolicyHarness on = new PolicyHarness(settings(), "a", "b");
      AddToCounter lost = single(AddToCounter.class, request(on, "other"));
      on.onEvent(new CounterReply(lost.counterName(), CallResult.TIMEOUT, 0, 50_000));
      on.nowMicros += 6 * PolicyHarness.SECOND_MICROS;
      AddToCounter add = single(AddToCounter.class, request(on, "one"));
      List<PolicyAction> told =
          on.onEvent(
              new CounterReply(add.counterName(), CallResult.OK, before + add.amount(), 1_000));
      assertEquals(before > 1 ? 1 : 0, allOf(RejectRequest.class, told).size(), "before " + before);
    }
  }
}
