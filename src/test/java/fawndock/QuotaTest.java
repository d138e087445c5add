package fawndock;

import static fawndock.Rig.one;
import static fawndock.Rig.only;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.Gatekeeper.Action;
import fawndock.Gatekeeper.Attempt;
import fawndock.Gatekeeper.Count;
import fawndock.Gatekeeper.Counted;
import fawndock.Gatekeeper.Fail;
import fawndock.Gatekeeper.Outcome;
import fawndock.Gatekeeper.Plan;
import fawndock.Gatekeeper.Refuse;
import fawndock.Gatekeeper.Repeat;
import fawndock.Gatekeeper.Request;
import fawndock.Gatekeeper.Result;
import fawndock.Gatekeeper.Settings;
import fawndock.Gatekeeper.Wake;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class QuotaTest {
  /** A counter that answers at once. */
  private final Map<String, Double> counter = new LinkedHashMap<>();

  private final Rig rig =
      new Rig(Rig.settings(Rig.ratePlan(1, 4), Repeat.IDEMPOTENT, true, true), "a", "b");

  private List<Action> serve(List<Action> actions) {
    return serve(rig, actions);
  }

  private List<Action> serve(Rig on, List<Action> actions) {
    List<Action> all = new ArrayList<>(actions);
    for (Count c : only(Count.class, actions)) {
      double total = counter.merge(c.name(), c.amount(), Double::sum);
      all.addAll(serve(on, on.on(new Counted(c.name(), Result.OK, total, 1_000))));
    }
    return all;
  }

  @Test
  void weighsTheWindowBeforeByWhatIsLeftOfIt() {
    assertEquals(10.0, Logic.estimate(10, 0, 0, 100));
    assertEquals(2.5 + 3, Logic.estimate(10, 3, 75, 100));
    assertEquals(3.0, Logic.estimate(-5, 3, 10, 100), "a count below nothing is no credit");
  }

  @Test
  void addsTheUnitsBeforeSending() {
    List<Action> asked = rig.request(1, 2);
    assertEquals(2.0, one(Count.class, asked).amount());
    assertTrue(only(Attempt.class, asked).isEmpty());
    assertEquals(1, only(Attempt.class, serve(asked)).size());
  }

  @Test
  void refusesBeyondTheStoreAndTakesTheAddBack() {
    for (long id = 1; id <= 4; id++) {
      assertEquals(1, only(Attempt.class, serve(rig.request(id))).size());
    }
    List<Action> fifth = serve(rig.request(5));
    assertEquals(0, only(Attempt.class, fifth).size());
    assertEquals(
        4 * Rig.SECOND, one(Refuse.class, fifth).retryAfterMicros(), "seconds left in the window");
    assertEquals(4.0, counter.values().stream().mapToDouble(v -> v).sum());
  }

  @Test
  void grantsWhatTheRefilledStoreHoldsThoughTheEstimateRefuses() {
    for (long id = 1; id <= 5; id++) {
      for (Attempt a : only(Attempt.class, serve(rig.request(id)))) {
        rig.outcome(id, 0, a.server(), Result.OK, true);
      }
    }
    rig.now += Rig.SECOND + Rig.SECOND / 2;
    assertEquals(1, only(Attempt.class, serve(rig.request(6))).size());
    assertEquals(
        1, only(Refuse.class, serve(rig.request(7))).size(), "one unit has come in, not two");
  }

  @Test
  void aPeersUseCounts() {
    String name = one(Count.class, rig.request(1)).name();
    counter.put(name, 5.0);
    List<Action> told = new ArrayList<>(serve(rig.on(new Counted(name, Result.OK, 5.0, 1_000))));
    assertEquals(1, only(Refuse.class, told).size());
  }

  @Test
  void admitsWhenTheCounterRefuses() {
    String name = one(Count.class, rig.request(1)).name();
    assertEquals(
        1, only(Attempt.class, rig.on(new Counted(name, Result.CONNECT_FAILED, 0, 500))).size());
  }

  @Test
  void admitsWhenTheCounterStaysSilent() {
    rig.request(1);
    assertEquals(1, only(Attempt.class, rig.on(new Wake("ask:1"))).size());
  }

  @Test
  void carriesASurelyFailedAddForwardAndALostAnswerNot() {
    String name = one(Count.class, rig.request(1)).name();
    rig.on(new Counted(name, Result.SHED, 0, 500));
    Count late = owed(name);
    assertEquals(1.0, late.amount(), "it surely was not added");
    rig.on(new Counted(name, Result.TIMEOUT, 0, 50_000));
    assertEquals(
        List.of(), only(Count.class, rig.on(new Wake("owed:" + name))), "it may have been added");
  }

  /** Lets time pass until what is owed to the name is sent by a call of its own. */
  private Count owed(String name) {
    for (int i = 0; i < 50; i++) {
      rig.now += 10_000;
      List<Count> sent = only(Count.class, rig.on(new Wake("owed:" + name)));
      if (!sent.isEmpty()) {
        return sent.get(0);
      }
    }
    throw new AssertionError("nothing was sent for " + name);
  }

  @Test
  void putsItsOwnPartBackWhenTheCountWasLost() {
    serve(rig.request(1));
    serve(rig.request(2));
    counter.clear();
    List<Action> third = serve(rig.request(3));
    assertTrue(
        only(Count.class, third).stream().anyMatch(c -> c.amount() == 2.0), third.toString());
    assertEquals(3.0, counter.values().stream().mapToDouble(v -> v).sum());
  }

  @Test
  void aKnownRefusalOnlyReads() {
    for (long id = 1; id <= 5; id++) {
      serve(rig.request(id));
    }
    assertEquals(0.0, one(Count.class, rig.request(6)).amount());
  }

  @Test
  void aCrowdedCounterIsNotAskedAboutAProvenRefusal() {
    for (long id = 1; id <= 5; id++) {
      serve(rig.request(id));
    }
    String name = one(Count.class, rig.request(6)).name();
    rig.on(new Counted(name, Result.SHED, 0, 500));
    for (long id = 7; id <= 20; id++) {
      List<Action> refused = rig.request(id);
      assertTrue(only(Count.class, refused).isEmpty());
      assertEquals(1, only(Refuse.class, refused).size());
    }
  }

  /** Turns calls away until the rig asks seldom. */
  private void crowd(Rig on) {
    for (long id = 1000; id < 1100; id++) {
      List<Action> actions = new ArrayList<>(on.on(request(on, id, "crowd" + id)));
      for (Count c : only(Count.class, actions)) {
        actions.addAll(on.on(new Counted(c.name(), Result.SHED, 0, 500)));
      }
      only(Attempt.class, actions)
          .forEach(a -> on.outcome(a.requestId(), 0, a.server(), Result.OK, true));
    }
  }

  private static Request request(Rig on, long id, String customer) {
    return new Request(id, "class", "plan", customer, on.now + 3 * Rig.SECOND, 1, 2, 0, false);
  }

  @Test
  void aCrowdedCounterIsAskedSeldomAndCustomersOfLittleDemandAreLetIn() {
    Rig many = new Rig(Rig.settings(Rig.ratePlan(1, 4), Repeat.IDEMPOTENT, true, true), "a", "b");
    crowd(many);
    int asked = 0;
    int sent = 0;
    for (long id = 1; id <= 100; id++) {
      many.now += 100_000;
      List<Action> actions = many.on(request(many, id, "calm" + id));
      asked += only(Count.class, actions).size();
      sent += only(Attempt.class, actions).size();
      only(Attempt.class, actions)
          .forEach(a -> many.outcome(a.requestId(), 0, a.server(), Result.OK, true));
    }
    assertTrue(asked < 20, asked + " asked");
    assertTrue(sent > 80, sent + " sent");
  }

  @Test
  void aCrowdedCounterLetsNoOneCustomerOfMuchDemandIn() {
    Rig many = new Rig(Rig.settings(Rig.ratePlan(1, 4), Repeat.IDEMPOTENT, true, true), "a", "b");
    crowd(many);
    int sent = 0;
    for (long id = 1; id <= 200; id++) {
      many.now += 5_000;
      List<Action> actions = many.on(request(many, id, "greedy"));
      sent += only(Attempt.class, actions).size();
      only(Attempt.class, actions)
          .forEach(a -> many.outcome(a.requestId(), 0, a.server(), Result.OK, true));
    }
    assertTrue(sent < 40, sent + " sent");
  }

  @Test
  void anAskedTryStandsForThoseLetInUnasked() {
    Rig many = new Rig(Rig.settings(Rig.ratePlan(1, 4), Repeat.IDEMPOTENT, true, true), "a", "b");
    crowd(many);
    double most = 0;
    for (long id = 1; id <= 400; id++) {
      many.now += 10_000;
      for (Count c : only(Count.class, many.on(request(many, id, "calm" + id)))) {
        most = Math.max(most, c.amount());
      }
    }
    assertEquals(4.0, most, "the limit at most");
  }

  @Test
  void afterACrowdATryCostsOneCallForAWhile() {
    String name = one(Count.class, rig.on(request(rig, 1, "first"))).name();
    rig.on(new Counted(name, Result.SHED, 0, 500));
    for (long id = 2; id <= 60; id++) {
      serve(rig.on(request(rig, id, "calm" + id)));
    }
    assertEquals(0, secondCalls(100), "five seconds have not passed");
    rig.now += 6 * Rig.SECOND;
    assertEquals(1, secondCalls(101), "the window before is read");
  }

  private int secondCalls(long id) {
    Count first = one(Count.class, rig.on(request(rig, id, "new" + id)));
    return only(Count.class, rig.on(new Counted(first.name(), Result.OK, first.amount(), 1_000)))
        .size();
  }

  /** Tables stay level when each customer comes once. */
  @Test
  void customersSeenOnceAreForgotten() throws Exception {
    for (long id = 1; id <= 100_000; id++) {
      rig.now += 5_000;
      List<Action> asked =
          rig.on(
              new Request(
                  id, "class", "plan", "customer" + id, rig.now + 3 * Rig.SECOND, 1, 2, 0, false));
      Attempt a = one(Attempt.class, serve(asked));
      rig.outcome(id, 0, a.server(), Result.OK, true);
    }
    for (String table : List.of("pairs", "tallies", "held", "calls")) {
      java.lang.reflect.Field field = Logic.class.getDeclaredField(table);
      field.setAccessible(true);
      int size = ((java.util.Map<?, ?>) field.get(rig.logic)).size();
      assertTrue(size < 30_000, table + " holds " + size);
    }
  }

  @Test
  void answersThatCannotBeReadAreNoCrowd() {
    for (long id = 1; id <= 40; id++) {
      rig.now += 20_000;
      String name = one(Count.class, rig.request(id)).name();
      rig.on(new Counted(name, Result.TIMEOUT, 0, 500));
    }
  }

  @Test
  void promptAnswersEndTheCrowd() {
    crowd(rig);
    int asked = 0;
    for (long id = 1; id <= 3000; id++) {
      rig.now += 10_000;
      List<Action> actions = new ArrayList<>(rig.on(request(rig, id, "calm" + id)));
      int now = only(Count.class, actions).size();
      asked += id > 2900 ? now : 0;
      serve(actions);
    }
    assertTrue(asked >= 100, asked + " of the last 100 asked");
  }

  @Test
  void aRequestIsNotHeldInAStandingQueue() {
    Rig none = new Rig(Rig.settings(Rig.ratePlan(0, 0), Repeat.IDEMPOTENT, false, false));
    none.request(1);
    none.now += Rig.SECOND / 4;
    assertEquals(1, only(Refuse.class, none.on(new Wake("hold:1"))).size());
  }

  @Test
  void scarceRoomGoesToTheDearerPlanAndToTheLesserRisk() {
    Plan dear = new Plan("dear", 0, 0, 0, 2, 0, 1, 0, 0, 0);
    Plan cheap = new Plan("cheap", 0, 0, 0, 0.5, 0, 1, 0, 0, 0);
    Settings s = Rig.settings(Rig.ratePlan(1, 4), Repeat.IDEMPOTENT, true, true);
    Rig busy =
        new Rig(
            new Settings(
                s.me(),
                s.gatekeepers(),
                s.seed(),
                s.roundMicros(),
                s.zone(),
                false,
                s.classes(),
                List.of(s.plans().get(0), dear, cheap),
                s.limits(),
                s.rules(),
                s.counter()),
            "a");
    crowd(busy);
    for (long id = 1; id <= 2; id++) {
      only(Attempt.class, busy.on(request(busy, id, "greedy")))
          .forEach(a -> busy.outcome(a.requestId(), 0, a.server(), Result.OK, true));
    }
    long last = 10;
    while (!only(Attempt.class, busy.on(unmetered(busy, last, "dear"))).isEmpty()) {
      last++;
    }
    busy.on(unmetered(busy, 100, "cheap"));
    busy.on(request(busy, 101, "greedy"));
    busy.on(request(busy, 102, "calm"));
    busy.on(new Wake("ask:101"));
    busy.on(new Wake("ask:102"));
    List<Long> order = new ArrayList<>();
    for (long done = 10; done < 14; done++) {
      order.add(one(Attempt.class, busy.outcome(done, 0, "a", Result.OK, true)).requestId());
    }
    assertEquals(List.of(last, 102L, 101L, 100L), order);
  }

  private static Request unmetered(Rig on, long id, String plan) {
    return new Request(id, "class", plan, "customer", on.now + 3 * Rig.SECOND, 1, 2, 0, false);
  }

  @Test
  void whatIsGivenUpOnIsAnsweredInTheSameEventAndToldWhenToComeBack() {
    for (long id = 1; id <= 4; id++) {
      serve(rig.request(id));
    }
    Count asked = one(Count.class, rig.request(5));
    long wait =
        one(Refuse.class, rig.on(new Counted(asked.name(), Result.OK, 5, 500))).retryAfterMicros();
    assertTrue(wait >= Rig.SECOND && wait <= 4 * Rig.SECOND, "store refills in 4 s, told " + wait);
    crowd(rig);
    assertEquals(1, only(Refuse.class, rig.request(6)).size(), "proven over, counter crowded");
    Rig risky = new Rig(Rig.settings(Rig.ratePlan(1, 4), Repeat.IDEMPOTENT, true, true), "a", "b");
    crowd(risky);
    int unasked = 0;
    for (long id = 1; id <= 300; id++) {
      List<Action> actions = risky.on(request(risky, id, "greedy"));
      only(Attempt.class, actions)
          .forEach(a -> risky.outcome(a.requestId(), 0, a.server(), Result.OK, true));
      boolean held =
          !only(Count.class, actions).isEmpty() || !only(Attempt.class, actions).isEmpty();
      assertEquals(
          held ? 0 : 1, only(Refuse.class, actions).size(), "neither held nor answered: " + id);
      unasked += held ? 0 : 1;
    }
    assertTrue(unasked > 0, "none refused unasked");
  }

  @Test
  void aRequestThatWaitsForRoomOrIsOutIsNotGivenUpOn() {
    Rig none = new Rig(Rig.settings(Rig.ratePlan(0, 0), Repeat.IDEMPOTENT, false, false));
    assertTrue(only(Refuse.class, none.request(1)).isEmpty());
    Rig out = new Rig(Rig.settings(Rig.ratePlan(0, 0), Repeat.IDEMPOTENT, false, false), "a");
    one(Attempt.class, out.request(1));
    out.now += Rig.SECOND;
    List<Action> late = out.on(new Wake("late:1"));
    assertTrue(only(Refuse.class, late).isEmpty() && only(Fail.class, late).isEmpty());
  }

  @Test
  void aSilentCounterIsStillAskedButNotWaitedForAndLetsAllIn() {
    int asked = 0;
    int sent = 0;
    for (long id = 1; id <= 400; id++) {
      rig.now += 50_000;
      List<Action> actions = new ArrayList<>(rig.on(request(rig, id, "greedy")));
      for (Count c : only(Count.class, actions)) {
        actions.addAll(rig.on(new Counted(c.name(), Result.TIMEOUT, 0, 50_000)));
      }
      asked += id > 200 ? only(Count.class, actions).size() : 0;
      sent += id > 200 ? only(Attempt.class, actions).size() : 0;
      only(Attempt.class, actions)
          .forEach(a -> rig.outcome(a.requestId(), 0, a.server(), Result.OK, true));
    }
    assertEquals(200, sent);
    assertTrue(asked > 0, "the return of the counter must be found");
  }

  @Test
  void aCounterThatTurnsAllAwayIsNotSilent() {
    crowd(rig);
    int sent = 0;
    for (long id = 1; id <= 400; id++) {
      rig.now += 50_000;
      List<Action> actions = rig.on(request(rig, id, "greedy"));
      sent += only(Attempt.class, actions).size();
      only(Attempt.class, actions)
          .forEach(a -> rig.outcome(a.requestId(), 0, a.server(), Result.OK, true));
      only(Count.class, actions).forEach(c -> rig.on(new Counted(c.name(), Result.SHED, 0, 500)));
    }
    assertTrue(sent < 100, sent + " of 400 sent");
  }

  @Test
  void absurdTotalsAreHarmless() {
    double[] totals = {-1e12, 1e300, Double.NaN, Double.NEGATIVE_INFINITY, 0, 5};
    for (long id = 1; id <= totals.length; id++) {
      for (Count c : only(Count.class, rig.request(id))) {
        for (Count next :
            only(
                Count.class,
                rig.on(new Counted(c.name(), Result.OK, totals[(int) id - 1], 1_000)))) {
          assertTrue(Math.abs(next.amount()) <= 10, "puts back no more than its own: " + next);
        }
      }
      rig.now += 100_000;
    }
  }

  @Test
  void settlesTheTrueUnits() {
    Attempt sent = one(Attempt.class, serve(rig.request(1, 2)));
    assertEquals(
        1.5,
        one(
                Count.class,
                rig.on(new Outcome(1, 0, sent.server(), 100_000, Result.OK, true, 3.5, Map.of())))
            .amount());
  }

  @Test
  void holdsACapOnOpenAttemptsWithOneCallATry() {
    Rig open =
        new Rig(Rig.settings(Rig.openPlan(8), Repeat.IDEMPOTENT, true, false), "a", "b", "c");
    int calls = 0;
    int sent = 0;
    for (long id = 1; id <= 40; id++) {
      List<Action> actions = open.request(id);
      calls += only(Count.class, actions).size();
      sent += only(Attempt.class, serve(open, actions)).size();
    }
    assertTrue(sent > 4 && sent < 8, sent + " sent at once");
    assertEquals(40, calls);
    open.now += Rig.SECOND;
    open.on(
        new Gatekeeper.Servers(
            Gatekeeper.Listing.CHANGES,
            List.of(Rig.server("d", Gatekeeper.Availability.RUNNING, 0))));
    assertEquals(
        1, only(Attempt.class, serve(open, open.request(41))).size(), "what was out has lapsed");
  }

  @Test
  void holdsTheCeilingWithAndWithoutTheCounter() {
    Rig ceiling =
        new Rig(Rig.settings(Rig.ceilingPlan(2, 4), Repeat.IDEMPOTENT, true, false), "a", "b");
    int sent = 0;
    for (long id = 1; id <= 10; id++) {
      sent += only(Attempt.class, serve(ceiling, ceiling.request(id))).size();
    }
    assertEquals(4, sent);
    int silent = 0;
    for (long id = 11; id <= 30; id++) {
      List<Action> actions = new ArrayList<>(ceiling.request(id));
      ceiling.now += 100_000;
      for (Count c : only(Count.class, actions)) {
        actions.addAll(ceiling.on(new Counted(c.name(), Result.CONNECT_FAILED, 0, 500)));
      }
      silent += only(Attempt.class, actions).size();
    }
    assertTrue(silent <= 2, "half the rate for two seconds is two units, not " + silent);
  }

  @Test
  void aRequestNeverSentTakesItsAddBack() {
    assertEquals(1.0, one(Count.class, rig.request(1)).amount());
    assertEquals(-1.0, one(Count.class, rig.on(new Gatekeeper.Gone(1))).amount());
  }

  @Test
  void windowsHaveNamesOfTheirOwn() {
    String first = one(Count.class, rig.request(1)).name();
    rig.now += 4 * Rig.SECOND;
    assertNotEquals(first, only(Count.class, rig.request(2)).get(0).name());
  }
}
