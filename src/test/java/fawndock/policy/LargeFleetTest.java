package fawndock.policy;

import static fawndock.policy.Rig.one;
import static fawndock.policy.Rig.only;
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
  private final Rig rig = new Rig(settings(), "a", "b");
  private long id;

  private static PolicyConfig settings() {
    PolicyConfig s = Rig.settings(Rig.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, false);
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

  private List<PolicyAction> request(Rig on, String customer) {
    return on.on(
        new RequestArrived(
            ++id, "class", "plan", customer, on.now + 3 * Rig.SECOND, 1, FLEET, 0, false));
  }

  /** How many of so many tries are asked, each after a time, with this end of each call. */
  private int asked(int tries, long apart, CallResult result) {
    int asked = 0;
    for (int i = 0; i < tries; i++) {
      rig.now += apart;
      List<AddToCounter> counts = only(AddToCounter.class, request(rig, "customer" + id));
      asked += counts.isEmpty() ? 0 : 1;
      for (AddToCounter c : counts) {
        rig.on(
            new CounterReply(
                c.counterName(), result, c.amount(), result == CallResult.OK ? 1_000 : 50_000));
      }
    }
    return asked;
  }

  @Test
  void aWellCounterIsAskedAboutEachTryFromTheFirstOn() {
    assertEquals(20, asked(20, Rig.SECOND, CallResult.OK));
  }

  @Test
  void whatIsAskedBesideThePaceCountsForItselfAlone() {
    assertEquals(
        1.0,
        one(AddToCounter.class, request(rig, "one")).amount(),
        "not for the 71 that the pace would let go unasked");
  }

  @Test
  void oneCallIsOutAtATimeWhileTheCounterIsNotKnown() {
    assertEquals(1, only(AddToCounter.class, request(rig, "one")).size());
    int more = 0;
    for (int i = 0; i < 100; i++) {
      more += only(AddToCounter.class, request(rig, "more" + i)).size();
    }
    assertTrue(more < 10, "asked beside the one that is out: " + more);
  }

  @Test
  void failuresMakeItAskEverMoreSeldomAndAnAnswerEndsThat() {
    int first = asked(120, Rig.SECOND / 2, CallResult.TIMEOUT);
    assertTrue(first >= 10 && first < 30, "of 120 in a minute: " + first);
    assertTrue(asked(20, Rig.SECOND, CallResult.OK) >= 12, "the gap is gone with the first answer");
  }

  @Test
  void callsThatAreTurnedAwayDoNotMakeItAskMoreSeldom() {
    assertEquals(20, asked(20, Rig.SECOND, CallResult.SHED));
  }

  @Test
  void aWithdrawalGoesAtOnceWhereNoCallIsNearThatItCouldRideWith() {
    Rig few =
        new Rig(Rig.settings(Rig.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, false), "a", "b");
    AddToCounter add = one(AddToCounter.class, request(few, "one"));
    AddToCounter before =
        one(
            AddToCounter.class,
            few.on(new CounterReply(add.counterName(), CallResult.OK, 6, 1_000)));
    List<PolicyAction> told =
        few.on(new CounterReply(before.counterName(), CallResult.OK, 0, 1_000));
    assertEquals(1, only(RejectRequest.class, told).size());
    assertEquals(-1.0, one(AddToCounter.class, told).amount());
    Rig many =
        new Rig(Rig.settings(Rig.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, false), "a", "b");
    for (int i = 0;
        i < 40;
        i++) { // None of them is sent on, so nothing is proven and each one adds.
      add =
          one(
              AddToCounter.class,
              many.on(
                  new RequestArrived(
                      ++id, "class", "plan", "one", many.now + 3 * Rig.SECOND, 1, 1, 0, false)));
    }
    before =
        one(
            AddToCounter.class,
            many.on(new CounterReply(add.counterName(), CallResult.OK, 60, 1_000)));
    told = many.on(new CounterReply(before.counterName(), CallResult.OK, 0, 1_000));
    assertEquals(1, only(RejectRequest.class, told).size());
    assertEquals(List.of(), only(AddToCounter.class, told), "it rides with the next");
  }

  @Test
  void anUnheardWindowIsTakenToBeLikeThePresentOneInACrowd() {
    for (double before : new double[] {3.2, 0.8}) { // Of a limit of 4, half of the window gone.
      Rig on = new Rig(settings(), "a", "b");
      AddToCounter lost = one(AddToCounter.class, request(on, "other"));
      on.on(new CounterReply(lost.counterName(), CallResult.TIMEOUT, 0, 50_000));
      on.now += 6 * Rig.SECOND;
      AddToCounter add = one(AddToCounter.class, request(on, "one"));
      List<PolicyAction> told =
          on.on(new CounterReply(add.counterName(), CallResult.OK, before + add.amount(), 1_000));
      assertEquals(before > 1 ? 1 : 0, only(RejectRequest.class, told).size(), "before " + before);
    }
  }
}
