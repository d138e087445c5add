package fawndock.policy;

import static fawndock.policy.PolicyHarness.allOf;
import static fawndock.policy.PolicyHarness.single;
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
import fawndock.policy.event.LoadReport;
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

  private final PolicyHarness rig =
      new PolicyHarness(
          PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true),
          "a",
          "b");

  private List<PolicyAction> serve(List<PolicyAction> actions) {
    return serve(rig, actions);
  }

  private List<PolicyAction> serve(PolicyHarness on, List<PolicyAction> actions) {
    List<PolicyAction> all = new ArrayList<>(actions);
    for (AddToCounter c : allOf(AddToCounter.class, actions)) {
      double total = counter.merge(c.counterName(), c.amount(), Double::sum);
      all.addAll(
          serve(on, on.onEvent(new CounterReply(c.counterName(), CallResult.OK, total, 1_000))));
    }
    return all;
  }

  @Test
  void weighsTheWindowBeforeByWhatIsLeftOfIt() {
    assertEquals(10.0, fawndock.policy.quota.SlidingWindowQuota.estimate(10, 0, 0, 100));
    assertEquals(2.5 + 3, fawndock.policy.quota.SlidingWindowQuota.estimate(10, 3, 75, 100));
    assertEquals(
        3.0,
        fawndock.policy.quota.SlidingWindowQuota.estimate(-5, 3, 10, 100),
        "a count below nothing is no credit");
  }

  @Test
  void addsTheUnitsBeforeSending() {
    List<PolicyAction> asked = rig.request(1, 2);
    assertEquals(2.0, single(AddToCounter.class, asked).amount());
    assertTrue(allOf(StartAttempt.class, asked).isEmpty());
    assertEquals(1, allOf(StartAttempt.class, serve(asked)).size());
  }

  @Test
  void refusesBeyondTheStoreAndTakesTheAddBack() {
    for (long id = 1; id <= 4; id++) {
      assertEquals(1, allOf(StartAttempt.class, serve(rig.request(id))).size());
    }
    List<PolicyAction> fifth = serve(rig.request(5));
    assertEquals(0, allOf(StartAttempt.class, fifth).size());
    assertEquals(
        4 * PolicyHarness.SECOND_MICROS,
        single(RejectRequest.class, fifth).retryAfterMicros(),
        "seconds left in the window");
    assertEquals(4.0, counter.values().stream().mapToDouble(v -> v).sum());
  }

  @Test
  void grantsWhatTheRefilledStoreHoldsThoughTheEstimateRefuses() {
    for (long id = 1; id <= 5; id++) {
      for (StartAttempt a : allOf(StartAttempt.class, serve(rig.request(id)))) {
        rig.completeAttempt(id, 0, a.endpointId(), CallResult.OK, true);
      }
    }
    rig.nowMicros += PolicyHarness.SECOND_MICROS + PolicyHarness.SECOND_MICROS / 2;
    assertEquals(1, allOf(StartAttempt.class, serve(rig.request(6))).size());
    assertEquals(
        1,
        allOf(RejectRequest.class, serve(rig.request(7))).size(),
        "one unit has come in, not two");
  }

  @Test
  void aPeersUseCounts() {
    String name = single(AddToCounter.class, rig.request(1)).counterName();
    counter.put(name, 5.0);
    List<PolicyAction> told =
        new ArrayList<>(serve(rig.onEvent(new CounterReply(name, CallResult.OK, 5.0, 1_000))));
    assertEquals(1, allOf(RejectRequest.class, told).size());
  }

  @Test
  void admitsWhenTheCounterRefuses() {
    String name = single(AddToCounter.class, rig.request(1)).counterName();
    assertEquals(
        1,
        allOf(
                StartAttempt.class,
                rig.onEvent(new CounterReply(name, CallResult.CONNECT_FAILED, 0, 500)))
            .size());
  }

  @Test
  void admitsWhenTheCounterStaysSilent() {
    rig.request(1);
    assertEquals(
        1,
        allOf(
                StartAttempt.class,
                rig.onEvent(new TimerFired(new PolicyTimer.CounterWaitTimeout(1))))
            .size());
  }

  @Test
  void carriesASurelyFailedAddForwardAndALostAnswerNot() {
    String name = single(AddToCounter.class, rig.request(1)).counterName();
    rig.onEvent(new CounterReply(name, CallResult.SHED, 0, 500));
    AddToCounter late = owed(name);
    assertEquals(1.0, late.amount(), "it surely was not added");
    rig.onEvent(new CounterReply(name, CallResult.TIMEOUT, 0, 50_000));
    assertEquals(
        List.of(),
        allOf(
            AddToCounter.class,
            rig.onEvent(new TimerFired(new PolicyTimer.FlushPendingAdds(name)))),
        "it may have been added");
  }

  /** Lets time pass until what is owed to the name is sent by a call of its own. */
  private AddToCounter owed(String name) {
    for (int i = 0; i < 50; i++) {
      rig.nowMicros += 10_000;
      List<AddToCounter> sent =
          allOf(
              AddToCounter.class,
              rig.onEvent(new TimerFired(new PolicyTimer.FlushPendingAdds(name))));
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
        allOf(AddToCounter.class, third).stream().anyMatch(c -> c.amount() == 2.0),
        third.toString());
    assertEquals(3.0, counter.values().stream().mapToDouble(v -> v).sum());
  }

  @Test
  void aKnownRefusalOnlyReads() {
    for (long id = 1; id <= 5; id++) {
      serve(rig.request(id));
    }
    assertEquals(0.0, single(AddToCounter.class, rig.request(6)).amount());
  }

  @Test
  void aCrowdedCounterIsNotAskedAboutAProvenRefusal() {
    for (long id = 1; id <= 5; id++) {
      serve(rig.request(id));
    }
    String name = single(AddToCounter.class, rig.request(6)).counterName();
    rig.onEvent(new CounterReply(name, CallResult.SHED, 0, 500));
    for (long id = 7; id <= 20; id++) {
      List<PolicyAction> refused = rig.request(id);
      assertTrue(allOf(AddToCounter.class, refused).isEmpty());
      assertEquals(1, allOf(RejectRequest.class, refused).size());
    }
  }

  /** Turns calls away until the rig asks seldom. */
  private void crowd(PolicyHarness on) {
    for (long id = 1000; id < 1100; id++) {
      List<PolicyAction> actions = new ArrayList<>(on.onEvent(request(on, id, "crowd" + id)));
      for (AddToCounter c : allOf(AddToCounter.class, actions)) {
        actions.addAll(on.onEvent(new CounterReply(c.counterName(), CallResult.SHED, 0, 500)));
      }
      allOf(StartAttempt.class, actions)
          .forEach(a -> on.completeAttempt(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
    }
  }

  private static RequestArrived request(PolicyHarness on, long id, String customer) {
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

  @Test
  void aCrowdedCounterIsAskedSeldomAndCustomersOfLittleDemandAreLetIn() {
    PolicyHarness many =
        new PolicyHarness(
            PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true),
            "a",
            "b");
    crowd(many);
    int asked = 0;
    int sent = 0;
    for (long id = 1; id <= 100; id++) {
      many.nowMicros += 100_000;
      List<PolicyAction> actions = many.onEvent(request(many, id, "calm" + id));
      asked += allOf(AddToCounter.class, actions).size();
      sent += allOf(StartAttempt.class, actions).size();
      allOf(StartAttempt.class, actions)
          .forEach(
              a -> many.completeAttempt(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
    }
    assertTrue(asked < 20, asked + " asked");
    assertTrue(sent > 80, sent + " sent");
  }

  @Test
  void aCrowdedCounterLetsNoOneCustomerOfMuchDemandIn() {
    PolicyHarness many =
        new PolicyHarness(
            PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true),
            "a",
            "b");
    crowd(many);
    int sent = 0;
    for (long id = 1; id <= 200; id++) {
      many.nowMicros += 5_000;
      List<PolicyAction> actions = many.onEvent(request(many, id, "greedy"));
      sent += allOf(StartAttempt.class, actions).size();
      allOf(StartAttempt.class, actions)
          .forEach(
              a -> many.completeAttempt(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
    }
    assertTrue(sent < 40, sent + " sent");
  }

  @Test
  void anAskedTryStandsForThoseLetInUnasked() {
    PolicyHarness many =
        new PolicyHarness(
            PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true),
            "a",
            "b");
    crowd(many);
    double most = 0;
    for (long id = 1; id <= 400; id++) {
      many.nowMicros += 10_000;
      for (AddToCounter c :
          allOf(AddToCounter.class, many.onEvent(request(many, id, "calm" + id)))) {
        most = Math.max(most, c.amount());
      }
    }
    assertEquals(4.0, most, "the limit at most");
  }

  @Test
  void afterACrowdATryCostsOneCallForAWhile() {
    String name = single(AddToCounter.class, rig.onEvent(request(rig, 1, "first"))).counterName();
    rig.onEvent(new CounterReply(name, CallResult.SHED, 0, 500));
    for (long id = 2; id <= 60; id++) {
      serve(rig.onEvent(request(rig, id, "calm" + id)));
    }
    assertEquals(0, secondCalls(100), "five seconds have not passed");
    rig.nowMicros += 6 * PolicyHarness.SECOND_MICROS;
    assertEquals(1, secondCalls(101), "the window before is read");
  }

  private int secondCalls(long id) {
    AddToCounter first = single(AddToCounter.class, rig.onEvent(request(rig, id, "new" + id)));
    return allOf(
            AddToCounter.class,
            rig.onEvent(
                new CounterReply(first.counterName(), CallResult.OK, first.amount(), 1_000)))
        .size();
  }

  /** Tables stay level when each customer comes once. */
  @Test
  void customersSeenOnceAreForgotten() throws Exception {
    for (long id = 1; id <= 100_000; id++) {
      rig.nowMicros += 5_000;
      List<PolicyAction> asked =
          rig.onEvent(
              new RequestArrived(
                  id,
                  "class",
                  "plan",
                  "customer" + id,
                  rig.nowMicros + 3 * PolicyHarness.SECOND_MICROS,
                  1,
                  2,
                  0,
                  false));
      StartAttempt a = single(StartAttempt.class, serve(asked));
      rig.completeAttempt(id, 0, a.endpointId(), CallResult.OK, true);
    }
    Map<String, Integer> tables = PolicyTables.sizes(rig.policy);
    assertTrue(tables.size() >= 9, tables.toString());
    tables.forEach((table, size) -> assertTrue(size < 30_000, table + " holds " + size));
  }

  @Test
  void answersThatCannotBeReadAreNoCrowd() {
    for (long id = 1; id <= 40; id++) {
      rig.nowMicros += 20_000;
      String name = single(AddToCounter.class, rig.request(id)).counterName();
      rig.onEvent(new CounterReply(name, CallResult.TIMEOUT, 0, 500));
    }
  }

  @Test
  void promptAnswersEndTheCrowd() {
    crowd(rig);
    int asked = 0;
    for (long id = 1; id <= 3000; id++) {
      rig.nowMicros += 10_000;
      List<PolicyAction> actions = new ArrayList<>(rig.onEvent(request(rig, id, "calm" + id)));
      int now = allOf(AddToCounter.class, actions).size();
      asked += id > 2900 ? now : 0;
      serve(actions);
    }
    assertTrue(asked >= 100, asked + " of the last 100 asked");
  }

  @Test
  void aRequestIsNotHeldInAStandingQueue() {
    PolicyHarness none =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false));
    none.request(1);
    none.nowMicros += PolicyHarness.SECOND_MICROS / 4;
    assertEquals(
        1,
        allOf(RejectRequest.class, none.onEvent(new TimerFired(new PolicyTimer.QueueTimeout(1))))
            .size());
  }

  @Test
  void scarceRoomGoesToTheDearerPlanAndToTheLesserRisk() {
    Plan dear = new Plan("dear", 0, 0, 0, 2, 0, 1, 0, 0, 0);
    Plan cheap = new Plan("cheap", 0, 0, 0, 0.5, 0, 1, 0, 0, 0);
    PolicyConfig s =
        PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true);
    PolicyHarness busy =
        new PolicyHarness(
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
      allOf(StartAttempt.class, busy.onEvent(request(busy, id, "greedy")))
          .forEach(
              a -> busy.completeAttempt(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
    }
    long last = 10;
    while (!allOf(StartAttempt.class, busy.onEvent(unmetered(busy, last, "dear"))).isEmpty()) {
      last++;
    }
    busy.onEvent(unmetered(busy, 100, "cheap"));
    busy.onEvent(request(busy, 101, "greedy"));
    busy.onEvent(request(busy, 102, "calm"));
    busy.onEvent(new TimerFired(new PolicyTimer.CounterWaitTimeout(101)));
    busy.onEvent(new TimerFired(new PolicyTimer.CounterWaitTimeout(102)));
    List<Long> order = new ArrayList<>();
    for (long done = 10; done < 14; done++) {
      order.add(
          single(StartAttempt.class, busy.completeAttempt(done, 0, "a", CallResult.OK, true))
              .requestId());
    }
    assertEquals(List.of(last, 102L, 101L, 100L), order);
  }

  private static RequestArrived unmetered(PolicyHarness on, long id, String plan) {
    return new RequestArrived(
        id,
        "class",
        plan,
        "customer",
        on.nowMicros + 3 * PolicyHarness.SECOND_MICROS,
        1,
        2,
        0,
        false);
  }

  @Test
  void whatIsGivenUpOnIsAnsweredInTheSameEventAndToldWhenToComeBack() {
    for (long id = 1; id <= 4; id++) {
      serve(rig.request(id));
    }
    AddToCounter asked = single(AddToCounter.class, rig.request(5));
    long wait =
        single(
                RejectRequest.class,
                rig.onEvent(new CounterReply(asked.counterName(), CallResult.OK, 5, 500)))
            .retryAfterMicros();
    assertTrue(
        wait >= PolicyHarness.SECOND_MICROS && wait <= 4 * PolicyHarness.SECOND_MICROS,
        "store refills in 4 s, told " + wait);
    crowd(rig);
    assertEquals(
        1, allOf(RejectRequest.class, rig.request(6)).size(), "proven over, counter crowded");
    PolicyHarness risky =
        new PolicyHarness(
            PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true),
            "a",
            "b");
    crowd(risky);
    int unasked = 0;
    for (long id = 1; id <= 300; id++) {
      List<PolicyAction> actions = risky.onEvent(request(risky, id, "greedy"));
      allOf(StartAttempt.class, actions)
          .forEach(
              a -> risky.completeAttempt(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
      boolean held =
          !allOf(AddToCounter.class, actions).isEmpty()
              || !allOf(StartAttempt.class, actions).isEmpty();
      assertEquals(
          held ? 0 : 1,
          allOf(RejectRequest.class, actions).size(),
          "neither held nor answered: " + id);
      unasked += held ? 0 : 1;
    }
    assertTrue(unasked > 0, "none refused unasked");
  }

  @Test
  void aRequestThatWaitsForRoomOrIsOutIsNotGivenUpOn() {
    PolicyHarness none =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false));
    assertTrue(allOf(RejectRequest.class, none.request(1)).isEmpty());
    PolicyHarness out =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false),
            "a");
    single(StartAttempt.class, out.request(1));
    out.nowMicros += PolicyHarness.SECOND_MICROS;
    List<PolicyAction> late =
        out.onEvent(new TimerFired(new PolicyTimer.LatencyObjectiveExceeded(1)));
    assertTrue(
        allOf(RejectRequest.class, late).isEmpty() && allOf(FailRequest.class, late).isEmpty());
  }

  @Test
  void aSilentCounterIsStillAskedButNotWaitedForAndLetsAllIn() {
    int asked = 0;
    int sent = 0;
    for (long id = 1; id <= 400; id++) {
      rig.nowMicros += 50_000;
      List<PolicyAction> actions = new ArrayList<>(rig.onEvent(request(rig, id, "greedy")));
      for (AddToCounter c : allOf(AddToCounter.class, actions)) {
        actions.addAll(
            rig.onEvent(new CounterReply(c.counterName(), CallResult.TIMEOUT, 0, 50_000)));
      }
      asked += id > 200 ? allOf(AddToCounter.class, actions).size() : 0;
      sent += id > 200 ? allOf(StartAttempt.class, actions).size() : 0;
      allOf(StartAttempt.class, actions)
          .forEach(a -> rig.completeAttempt(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
    }
    assertEquals(200, sent);
    assertTrue(asked > 0, "the return of the counter must be found");
  }

  @Test
  void aCounterThatTurnsAllAwayIsNotSilent() {
    crowd(rig);
    int sent = 0;
    for (long id = 1; id <= 400; id++) {
      rig.nowMicros += 50_000;
      List<PolicyAction> actions = rig.onEvent(request(rig, id, "greedy"));
      sent += allOf(StartAttempt.class, actions).size();
      allOf(StartAttempt.class, actions)
          .forEach(a -> rig.completeAttempt(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
      allOf(AddToCounter.class, actions)
          .forEach(c -> rig.onEvent(new CounterReply(c.counterName(), CallResult.SHED, 0, 500)));
    }
    assertTrue(sent < 100, sent + " of 400 sent");
  }

  @Test
  void absurdTotalsAreHarmless() {
    double[] totals = {-1e12, 1e300, Double.NaN, Double.NEGATIVE_INFINITY, 0, 5};
    for (long id = 1; id <= totals.length; id++) {
      for (AddToCounter c : allOf(AddToCounter.class, rig.request(id))) {
        for (AddToCounter next :
            allOf(
                AddToCounter.class,
                rig.onEvent(
                    new CounterReply(
                        c.counterName(), CallResult.OK, totals[(int) id - 1], 1_000)))) {
          assertTrue(Math.abs(next.amount()) <= 10, "puts back no more than its own: " + next);
        }
      }
      rig.nowMicros += 100_000;
    }
  }

  @Test
  void settlesTheTrueUnits() {
    StartAttempt sent = single(StartAttempt.class, serve(rig.request(1, 2)));
    assertEquals(
        1.5,
        single(
                AddToCounter.class,
                rig.onEvent(
                    new AttemptCompleted(
                        1,
                        0,
                        sent.endpointId(),
                        100_000,
                        CallResult.OK,
                        true,
                        3.5,
                        LoadReport.NONE)))
            .amount());
  }

  @Test
  void holdsACapOnOpenAttemptsWithOneCallATry() {
    PolicyHarness open =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.concurrencyPlan(8), Idempotency.IDEMPOTENT, true, false),
            "a",
            "b",
            "c");
    int calls = 0;
    int sent = 0;
    for (long id = 1; id <= 40; id++) {
      List<PolicyAction> actions = open.request(id);
      calls += allOf(AddToCounter.class, actions).size();
      sent += allOf(StartAttempt.class, serve(open, actions)).size();
    }
    assertTrue(sent > 4 && sent < 8, sent + " sent at once");
    assertEquals(40, calls);
    open.nowMicros += PolicyHarness.SECOND_MICROS;
    open.onEvent(
        new EndpointUpdate(
            EndpointUpdateKind.CHANGES,
            List.of(PolicyHarness.endpoint("d", EndpointState.RUNNING, 0))));
    assertEquals(
        1,
        allOf(StartAttempt.class, serve(open, open.request(41))).size(),
        "what was out has lapsed");
  }

  @Test
  void holdsTheCeilingWithAndWithoutTheCounter() {
    PolicyHarness ceiling =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.ceilingPlan(2, 4), Idempotency.IDEMPOTENT, true, false),
            "a",
            "b");
    int sent = 0;
    for (long id = 1; id <= 10; id++) {
      sent += allOf(StartAttempt.class, serve(ceiling, ceiling.request(id))).size();
    }
    assertEquals(4, sent);
    int silent = 0;
    for (long id = 11; id <= 30; id++) {
      List<PolicyAction> actions = new ArrayList<>(ceiling.request(id));
      ceiling.nowMicros += 100_000;
      for (AddToCounter c : allOf(AddToCounter.class, actions)) {
        actions.addAll(
            ceiling.onEvent(new CounterReply(c.counterName(), CallResult.CONNECT_FAILED, 0, 500)));
      }
      silent += allOf(StartAttempt.class, actions).size();
    }
    assertTrue(silent <= 2, "half the rate for two seconds is two units, not " + silent);
  }

  @Test
  void aRequestNeverSentTakesItsAddBack() {
    assertEquals(1.0, single(AddToCounter.class, rig.request(1)).amount());
    assertEquals(-1.0, single(AddToCounter.class, rig.onEvent(new ClientDisconnected(1))).amount());
  }

  @Test
  void windowsHaveNamesOfTheirOwn() {
    String first = single(AddToCounter.class, rig.request(1)).counterName();
    rig.nowMicros += 4 * PolicyHarness.SECOND_MICROS;
    assertNotEquals(first, allOf(AddToCounter.class, rig.request(2)).get(0).counterName());
  }
}
