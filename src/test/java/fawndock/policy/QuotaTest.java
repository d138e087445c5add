package fawndock.policy;

import static fawndock.policy.Rig.one;
import static fawndock.policy.Rig.only;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.ClientDisconnected;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.TimerFired;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class QuotaTest {
  /** A counter that answers at once. */
  private final Map<String, Double> counter = new LinkedHashMap<>();

  private final Rig rig =
      new Rig(Rig.settings(Rig.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true), "a", "b");

  private List<PolicyAction> serve(List<PolicyAction> actions) {
    return serve(rig, actions);
  }

  private List<PolicyAction> serve(Rig on, List<PolicyAction> actions) {
    List<PolicyAction> all = new ArrayList<>(actions);
    for (AddToCounter c : only(AddToCounter.class, actions)) {
      double total = counter.merge(c.counterName(), c.amount(), Double::sum);
      all.addAll(serve(on, on.on(new CounterReply(c.counterName(), CallResult.OK, total, 1_000))));
    }
    return all;
  }

  @Test
  void weighsTheWindowBeforeByWhatIsLeftOfIt() {
    assertEquals(10.0, DefaultGatewayPolicy.estimate(10, 0, 0, 100));
    assertEquals(2.5 + 3, DefaultGatewayPolicy.estimate(10, 3, 75, 100));
    assertEquals(
        3.0, DefaultGatewayPolicy.estimate(-5, 3, 10, 100), "a count below nothing is no credit");
  }

  @Test
  void addsTheUnitsBeforeSending() {
    List<PolicyAction> asked = rig.request(1, 2);
    assertEquals(2.0, one(AddToCounter.class, asked).amount());
    assertTrue(only(StartAttempt.class, asked).isEmpty());
    assertEquals(1, only(StartAttempt.class, serve(asked)).size());
  }

  @Test
  void refusesBeyondTheStoreAndTakesTheAddBack() {
    for (long id = 1; id <= 4; id++) {
      assertEquals(1, only(StartAttempt.class, serve(rig.request(id))).size());
    }
    List<PolicyAction> fifth = serve(rig.request(5));
    assertEquals(0, only(StartAttempt.class, fifth).size());
    assertEquals(
        4 * Rig.SECOND,
        one(RejectRequest.class, fifth).retryAfterMicros(),
        "seconds left in the window");
    assertEquals(4.0, counter.values().stream().mapToDouble(v -> v).sum());
  }

  @Test
  void grantsWhatTheRefilledStoreHoldsThoughTheEstimateRefuses() {
    for (long id = 1; id <= 5; id++) {
      for (StartAttempt a : only(StartAttempt.class, serve(rig.request(id)))) {
        rig.outcome(id, 0, a.endpointId(), CallResult.OK, true);
      }
    }
    rig.now += Rig.SECOND + Rig.SECOND / 2;
    assertEquals(1, only(StartAttempt.class, serve(rig.request(6))).size());
    assertEquals(
        1,
        only(RejectRequest.class, serve(rig.request(7))).size(),
        "one unit has come in, not two");
  }

  @Test
  void aPeersUseCounts() {
    String name = one(AddToCounter.class, rig.request(1)).counterName();
    counter.put(name, 5.0);
    List<PolicyAction> told =
        new ArrayList<>(serve(rig.on(new CounterReply(name, CallResult.OK, 5.0, 1_000))));
    assertEquals(1, only(RejectRequest.class, told).size());
  }

  @Test
  void admitsWhenTheCounterRefuses() {
    String name = one(AddToCounter.class, rig.request(1)).counterName();
    assertEquals(
        1,
        only(StartAttempt.class, rig.on(new CounterReply(name, CallResult.CONNECT_FAILED, 0, 500)))
            .size());
  }

  @Test
  void admitsWhenTheCounterStaysSilent() {
    rig.request(1);
    assertEquals(
        1,
        only(StartAttempt.class, rig.on(new TimerFired(new PolicyTimer.CounterWaitTimeout(1))))
            .size());
  }

  @Test
  void carriesASurelyFailedAddForwardAndALostAnswerNot() {
    String name = one(AddToCounter.class, rig.request(1)).counterName();
    rig.on(new CounterReply(name, CallResult.SHED, 0, 500));
    AddToCounter late = owed(name);
    assertEquals(1.0, late.amount(), "it surely was not added");
    rig.on(new CounterReply(name, CallResult.TIMEOUT, 0, 50_000));
    assertEquals(
        List.of(),
        only(AddToCounter.class, rig.on(new TimerFired(new PolicyTimer.FlushPendingAdds(name)))),
        "it may have been added");
  }

  /** Lets time pass until what is owed to the name is sent by a call of its own. */
  private AddToCounter owed(String name) {
    for (int i = 0; i < 50; i++) {
      rig.now += 10_000;
      List<AddToCounter> sent =
          only(AddToCounter.class, rig.on(new TimerFired(new PolicyTimer.FlushPendingAdds(name))));
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
    List<PolicyAction> third = serve(rig.request(3));
    assertTrue(
        only(AddToCounter.class, third).stream().anyMatch(c -> c.amount() == 2.0),
        third.toString());
    assertEquals(3.0, counter.values().stream().mapToDouble(v -> v).sum());
  }

  @Test
  void aKnownRefusalOnlyReads() {
    for (long id = 1; id <= 5; id++) {
      serve(rig.request(id));
    }
    assertEquals(0.0, one(AddToCounter.class, rig.request(6)).amount());
  }

  @Test
  void aCrowdedCounterIsNotAskedAboutAProvenRefusal() {
    for (long id = 1; id <= 5; id++) {
      serve(rig.request(id));
    }
    String name = one(AddToCounter.class, rig.request(6)).counterName();
    rig.on(new CounterReply(name, CallResult.SHED, 0, 500));
    for (long id = 7; id <= 20; id++) {
      List<PolicyAction> refused = rig.request(id);
      assertTrue(only(AddToCounter.class, refused).isEmpty());
      assertEquals(1, only(RejectRequest.class, refused).size());
    }
  }

  /** Turns calls away until the rig asks seldom. */
  private void crowd(Rig on) {
    for (long id = 1000; id < 1100; id++) {
      List<PolicyAction> actions = new ArrayList<>(on.on(request(on, id, "crowd" + id)));
      for (AddToCounter c : only(AddToCounter.class, actions)) {
        actions.addAll(on.on(new CounterReply(c.counterName(), CallResult.SHED, 0, 500)));
      }
      only(StartAttempt.class, actions)
          .forEach(a -> on.outcome(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
    }
  }

  private static RequestArrived request(Rig on, long id, String customer) {
    return new RequestArrived(
        id, "class", "plan", customer, on.now + 3 * Rig.SECOND, 1, 2, 0, false);
  }

  @Test
  void aCrowdedCounterIsAskedSeldomAndCustomersOfLittleDemandAreLetIn() {
    Rig many =
        new Rig(Rig.settings(Rig.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true), "a", "b");
    crowd(many);
    int asked = 0;
    int sent = 0;
    for (long id = 1; id <= 100; id++) {
      many.now += 100_000;
      List<PolicyAction> actions = many.on(request(many, id, "calm" + id));
      asked += only(AddToCounter.class, actions).size();
      sent += only(StartAttempt.class, actions).size();
      only(StartAttempt.class, actions)
          .forEach(a -> many.outcome(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
    }
    assertTrue(asked < 20, asked + " asked");
    assertTrue(sent > 80, sent + " sent");
  }

  @Test
  void aCrowdedCounterLetsNoOneCustomerOfMuchDemandIn() {
    Rig many =
        new Rig(Rig.settings(Rig.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true), "a", "b");
    crowd(many);
    int sent = 0;
    for (long id = 1; id <= 200; id++) {
      many.now += 5_000;
      List<PolicyAction> actions = many.on(request(many, id, "greedy"));
      sent += only(StartAttempt.class, actions).size();
      only(StartAttempt.class, actions)
          .forEach(a -> many.outcome(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
    }
    assertTrue(sent < 40, sent + " sent");
  }

  @Test
  void anAskedTryStandsForThoseLetInUnasked() {
    Rig many =
        new Rig(Rig.settings(Rig.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true), "a", "b");
    crowd(many);
    double most = 0;
    for (long id = 1; id <= 400; id++) {
      many.now += 10_000;
      for (AddToCounter c : only(AddToCounter.class, many.on(request(many, id, "calm" + id)))) {
        most = Math.max(most, c.amount());
      }
    }
    assertEquals(4.0, most, "the limit at most");
  }

  @Test
  void afterACrowdATryCostsOneCallForAWhile() {
    String name = one(AddToCounter.class, rig.on(request(rig, 1, "first"))).counterName();
    rig.on(new CounterReply(name, CallResult.SHED, 0, 500));
    for (long id = 2; id <= 60; id++) {
      serve(rig.on(request(rig, id, "calm" + id)));
    }
    assertEquals(0, secondCalls(100), "five seconds have not passed");
    rig.now += 6 * Rig.SECOND;
    assertEquals(1, secondCalls(101), "the window before is read");
  }

  private int secondCalls(long id) {
    AddToCounter first = one(AddToCounter.class, rig.on(request(rig, id, "new" + id)));
    return only(
            AddToCounter.class,
            rig.on(new CounterReply(first.counterName(), CallResult.OK, first.amount(), 1_000)))
        .size();
  }

  /** Tables stay level when each customer comes once. */
  @Test
  void customersSeenOnceAreForgotten() throws Exception {
    for (long id = 1; id <= 100_000; id++) {
      rig.now += 5_000;
      List<PolicyAction> asked =
          rig.on(
              new RequestArrived(
                  id, "class", "plan", "customer" + id, rig.now + 3 * Rig.SECOND, 1, 2, 0, false));
      StartAttempt a = one(StartAttempt.class, serve(asked));
      rig.outcome(id, 0, a.endpointId(), CallResult.OK, true);
    }
    for (String table : List.of("pairs", "tallies", "held", "calls")) {
      java.lang.reflect.Field field = DefaultGatewayPolicy.class.getDeclaredField(table);
      field.setAccessible(true);
      int size = ((java.util.Map<?, ?>) field.get(rig.logic)).size();
      assertTrue(size < 30_000, table + " holds " + size);
    }
  }

  @Test
  void answersThatCannotBeReadAreNoCrowd() {
    for (long id = 1; id <= 40; id++) {
      rig.now += 20_000;
      String name = one(AddToCounter.class, rig.request(id)).counterName();
      rig.on(new CounterReply(name, CallResult.TIMEOUT, 0, 500));
    }
  }

  @Test
  void promptAnswersEndTheCrowd() {
    crowd(rig);
    int asked = 0;
    for (long id = 1; id <= 3000; id++) {
      rig.now += 10_000;
      List<PolicyAction> actions = new ArrayList<>(rig.on(request(rig, id, "calm" + id)));
      int now = only(AddToCounter.class, actions).size();
      asked += id > 2900 ? now : 0;
      serve(actions);
    }
    assertTrue(asked >= 100, asked + " of the last 100 asked");
  }

  @Test
  void aRequestIsNotHeldInAStandingQueue() {
    Rig none = new Rig(Rig.settings(Rig.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false));
    none.request(1);
    none.now += Rig.SECOND / 4;
    assertEquals(
        1,
        only(RejectRequest.class, none.on(new TimerFired(new PolicyTimer.QueueTimeout(1)))).size());
  }

  @Test
  void scarceRoomGoesToTheDearerPlanAndToTheLesserRisk() {
    Plan dear = new Plan("dear", 0, 0, 0, 2, 0, 1, 0, 0, 0);
    Plan cheap = new Plan("cheap", 0, 0, 0, 0.5, 0, 1, 0, 0, 0);
    PolicyConfig s = Rig.settings(Rig.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true);
    Rig busy =
        new Rig(
            new PolicyConfig(
                s.instanceIndex(),
                s.instanceCount(),
                s.randomSeed(),
                s.roundTripMicros(),
                s.zone(),
                false,
                s.requestClasses(),
                List.of(s.plans().get(0), dear, cheap),
                s.limits(),
                s.rules(),
                s.counter()),
            "a");
    crowd(busy);
    for (long id = 1; id <= 2; id++) {
      only(StartAttempt.class, busy.on(request(busy, id, "greedy")))
          .forEach(a -> busy.outcome(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
    }
    long last = 10;
    while (!only(StartAttempt.class, busy.on(unmetered(busy, last, "dear"))).isEmpty()) {
      last++;
    }
    busy.on(unmetered(busy, 100, "cheap"));
    busy.on(request(busy, 101, "greedy"));
    busy.on(request(busy, 102, "calm"));
    busy.on(new TimerFired(new PolicyTimer.CounterWaitTimeout(101)));
    busy.on(new TimerFired(new PolicyTimer.CounterWaitTimeout(102)));
    List<Long> order = new ArrayList<>();
    for (long done = 10; done < 14; done++) {
      order.add(
          one(StartAttempt.class, busy.outcome(done, 0, "a", CallResult.OK, true)).requestId());
    }
    assertEquals(List.of(last, 102L, 101L, 100L), order);
  }

  private static RequestArrived unmetered(Rig on, long id, String plan) {
    return new RequestArrived(
        id, "class", plan, "customer", on.now + 3 * Rig.SECOND, 1, 2, 0, false);
  }

  @Test
  void whatIsGivenUpOnIsAnsweredInTheSameEventAndToldWhenToComeBack() {
    for (long id = 1; id <= 4; id++) {
      serve(rig.request(id));
    }
    AddToCounter asked = one(AddToCounter.class, rig.request(5));
    long wait =
        one(
                RejectRequest.class,
                rig.on(new CounterReply(asked.counterName(), CallResult.OK, 5, 500)))
            .retryAfterMicros();
    assertTrue(wait >= Rig.SECOND && wait <= 4 * Rig.SECOND, "store refills in 4 s, told " + wait);
    crowd(rig);
    assertEquals(
        1, only(RejectRequest.class, rig.request(6)).size(), "proven over, counter crowded");
    Rig risky =
        new Rig(Rig.settings(Rig.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true), "a", "b");
    crowd(risky);
    int unasked = 0;
    for (long id = 1; id <= 300; id++) {
      List<PolicyAction> actions = risky.on(request(risky, id, "greedy"));
      only(StartAttempt.class, actions)
          .forEach(a -> risky.outcome(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
      boolean held =
          !only(AddToCounter.class, actions).isEmpty()
              || !only(StartAttempt.class, actions).isEmpty();
      assertEquals(
          held ? 0 : 1,
          only(RejectRequest.class, actions).size(),
          "neither held nor answered: " + id);
      unasked += held ? 0 : 1;
    }
    assertTrue(unasked > 0, "none refused unasked");
  }

  @Test
  void aRequestThatWaitsForRoomOrIsOutIsNotGivenUpOn() {
    Rig none = new Rig(Rig.settings(Rig.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false));
    assertTrue(only(RejectRequest.class, none.request(1)).isEmpty());
    Rig out = new Rig(Rig.settings(Rig.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false), "a");
    one(StartAttempt.class, out.request(1));
    out.now += Rig.SECOND;
    List<PolicyAction> late = out.on(new TimerFired(new PolicyTimer.LatencyObjectiveExceeded(1)));
    assertTrue(
        only(RejectRequest.class, late).isEmpty() && only(FailRequest.class, late).isEmpty());
  }

  @Test
  void aSilentCounterIsStillAskedButNotWaitedForAndLetsAllIn() {
    int asked = 0;
    int sent = 0;
    for (long id = 1; id <= 400; id++) {
      rig.now += 50_000;
      List<PolicyAction> actions = new ArrayList<>(rig.on(request(rig, id, "greedy")));
      for (AddToCounter c : only(AddToCounter.class, actions)) {
        actions.addAll(rig.on(new CounterReply(c.counterName(), CallResult.TIMEOUT, 0, 50_000)));
      }
      asked += id > 200 ? only(AddToCounter.class, actions).size() : 0;
      sent += id > 200 ? only(StartAttempt.class, actions).size() : 0;
      only(StartAttempt.class, actions)
          .forEach(a -> rig.outcome(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
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
      List<PolicyAction> actions = rig.on(request(rig, id, "greedy"));
      sent += only(StartAttempt.class, actions).size();
      only(StartAttempt.class, actions)
          .forEach(a -> rig.outcome(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
      only(AddToCounter.class, actions)
          .forEach(c -> rig.on(new CounterReply(c.counterName(), CallResult.SHED, 0, 500)));
    }
    assertTrue(sent < 100, sent + " of 400 sent");
  }

  @Test
  void absurdTotalsAreHarmless() {
    double[] totals = {-1e12, 1e300, Double.NaN, Double.NEGATIVE_INFINITY, 0, 5};
    for (long id = 1; id <= totals.length; id++) {
      for (AddToCounter c : only(AddToCounter.class, rig.request(id))) {
        for (AddToCounter next :
            only(
                AddToCounter.class,
                rig.on(
                    new CounterReply(
                        c.counterName(), CallResult.OK, totals[(int) id - 1], 1_000)))) {
          assertTrue(Math.abs(next.amount()) <= 10, "puts back no more than its own: " + next);
        }
      }
      rig.now += 100_000;
    }
  }

  @Test
  void settlesTheTrueUnits() {
    StartAttempt sent = one(StartAttempt.class, serve(rig.request(1, 2)));
    assertEquals(
        1.5,
        one(
                AddToCounter.class,
                rig.on(
                    new AttemptCompleted(
                        1, 0, sent.endpointId(), 100_000, CallResult.OK, true, 3.5, Map.of())))
            .amount());
  }

  @Test
  void holdsACapOnOpenAttemptsWithOneCallATry() {
    Rig open =
        new Rig(Rig.settings(Rig.openPlan(8), Idempotency.IDEMPOTENT, true, false), "a", "b", "c");
    int calls = 0;
    int sent = 0;
    for (long id = 1; id <= 40; id++) {
      List<PolicyAction> actions = open.request(id);
      calls += only(AddToCounter.class, actions).size();
      sent += only(StartAttempt.class, serve(open, actions)).size();
    }
    assertTrue(sent > 4 && sent < 8, sent + " sent at once");
    assertEquals(40, calls);
    open.now += Rig.SECOND;
    open.on(
        new EndpointUpdate(
            EndpointUpdateKind.CHANGES, List.of(Rig.server("d", EndpointState.RUNNING, 0))));
    assertEquals(
        1,
        only(StartAttempt.class, serve(open, open.request(41))).size(),
        "what was out has lapsed");
  }

  @Test
  void holdsTheCeilingWithAndWithoutTheCounter() {
    Rig ceiling =
        new Rig(Rig.settings(Rig.ceilingPlan(2, 4), Idempotency.IDEMPOTENT, true, false), "a", "b");
    int sent = 0;
    for (long id = 1; id <= 10; id++) {
      sent += only(StartAttempt.class, serve(ceiling, ceiling.request(id))).size();
    }
    assertEquals(4, sent);
    int silent = 0;
    for (long id = 11; id <= 30; id++) {
      List<PolicyAction> actions = new ArrayList<>(ceiling.request(id));
      ceiling.now += 100_000;
      for (AddToCounter c : only(AddToCounter.class, actions)) {
        actions.addAll(
            ceiling.on(new CounterReply(c.counterName(), CallResult.CONNECT_FAILED, 0, 500)));
      }
      silent += only(StartAttempt.class, actions).size();
    }
    assertTrue(silent <= 2, "half the rate for two seconds is two units, not " + silent);
  }

  @Test
  void aRequestNeverSentTakesItsAddBack() {
    assertEquals(1.0, one(AddToCounter.class, rig.request(1)).amount());
    assertEquals(-1.0, one(AddToCounter.class, rig.on(new ClientDisconnected(1))).amount());
  }

  @Test
  void windowsHaveNamesOfTheirOwn() {
    String first = one(AddToCounter.class, rig.request(1)).counterName();
    rig.now += 4 * Rig.SECOND;
    assertNotEquals(first, only(AddToCounter.class, rig.request(2)).get(0).counterName());
  }
}
