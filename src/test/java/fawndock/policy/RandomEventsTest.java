package fawndock.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.CancelAttempt;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.Idempotency;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Rules that hold for every sequence of events. */
class RandomEventsTest {
  /**
   * Random sequences of legal events: each request gets one answer in time, and nothing is sent
   * after it or beyond its class.
   */
  @ParameterizedTest
  @EnumSource(Idempotency.class)
  void randomEvents_keepTheRulesAndAreDeterministic(Idempotency repeat) {
    for (long seed = 1; seed <= 40; seed++) {
      List<PolicyAction> first = new RandomDay(repeat, seed).play();
      assertEquals(first, new RandomDay(repeat, seed).play(), "the same events, the same actions");
    }
  }

  /**
   * A random sequence of events at one instance: it carries out the actions and checks the rules on
   * them.
   */
  private static final class RandomDay {
    private final Random random;
    private final Idempotency repeat;
    private final PolicyHarness harness;
    private final Map<Long, RequestArrived> open = new LinkedHashMap<>();
    private final Map<Long, List<StartAttempt>> sent = new LinkedHashMap<>();
    private final Map<Long, List<Integer>> out = new LinkedHashMap<>();
    private final Map<Long, Boolean> mayHaveRun = new LinkedHashMap<>();
    private final List<AddToCounter> counts = new ArrayList<>();
    private final Map<PolicyTimer, Long> wakes = new LinkedHashMap<>();
    private final Set<String> draining = new LinkedHashSet<>();
    private final List<PolicyAction> log = new ArrayList<>();

    RandomDay(Idempotency repeat, long seed) {
      this.repeat = repeat;
      this.random = new Random(seed);
      this.harness =
          new PolicyHarness(
              PolicyHarness.config(PolicyHarness.ratePlan(20, 10), repeat, true, true),
              "a",
              "b",
              "c");
    }

    List<PolicyAction> play() {
      for (long id = 1; id <= 300; id++) {
        harness.nowMicros += random.nextInt(20_000);
        RequestArrived r =
            new RequestArrived(
                id,
                "class",
                "plan",
                "customer" + random.nextInt(3),
                harness.nowMicros + 1_000_000 + random.nextInt(2_000_000),
                1 + random.nextInt(2),
                2,
                0,
                false);
        open.put(id, r);
        sent.put(id, new ArrayList<>());
        out.put(id, new ArrayList<>());
        mayHaveRun.put(id, false);
        take(harness.onEvent(r));
        step();
      }
      long end = harness.nowMicros + 5_000_000;
      while (harness.nowMicros < end) {
        harness.nowMicros += 2_000;
        step();
      }
      assertTrue(open.isEmpty(), "never answered: " + open.keySet());
      return log;
    }

    private void step() {
      for (PolicyTimer token : List.copyOf(wakes.keySet())) {
        if (wakes.get(token) <= harness.nowMicros) {
          wakes.remove(token);
          take(harness.onEvent(new TimerFired(token)));
        }
      }
      if (!counts.isEmpty() && random.nextBoolean()) {
        AddToCounter c = counts.remove(0);
        CallResult[] results = {CallResult.OK, CallResult.OK, CallResult.SHED, CallResult.TIMEOUT};
        take(
            harness.onEvent(
                new CounterReply(
                    c.counterName(), results[random.nextInt(4)], random.nextInt(8), 1_000)));
      }
      if (random.nextInt(10) == 0) {
        String endpointId = "abc".substring(random.nextInt(3)).substring(0, 1);
        boolean drain = draining.add(endpointId) || !draining.remove(endpointId);
        take(
            harness.onEvent(
                new EndpointUpdate(
                    EndpointUpdateKind.CHANGES,
                    List.of(
                        PolicyHarness.endpoint(
                            endpointId,
                            drain ? EndpointState.DRAINING : EndpointState.RUNNING,
                            0)))));
      }
      for (long id : List.copyOf(out.keySet())) {
        if (!out.get(id).isEmpty() && random.nextInt(20) == 0) {
          end(id);
        }
      }
    }

    private void end(long id) {
      int attempt = out.get(id).remove(0);
      CallResult[] results = {
        CallResult.OK,
        CallResult.OK,
        CallResult.ERROR,
        CallResult.SHED,
        CallResult.TIMEOUT,
        CallResult.RESET
      };
      CallResult result = results[random.nextInt(results.length)];
      if (result == CallResult.OK) {
        open.remove(id);
      }
      mayHaveRun.merge(id, result.mayHaveTakenEffect, Boolean::logicalOr);
      take(
          harness.onEvent(
              new AttemptCompleted(
                  id,
                  attempt,
                  sent.get(id).get(attempt).endpointId(),
                  50_000,
                  result,
                  !open.containsKey(id),
                  1,
                  new LoadReport.Builder().queuedRequests(1).build())));
    }

    private void take(List<PolicyAction> actions) {
      log.addAll(actions);
      for (PolicyAction action : actions) {
        if (action instanceof StartAttempt a) {
          RequestArrived r = open.get(a.requestId());
          assertTrue(r != null, "sent after its answer: " + a);
          assertTrue(!draining.contains(a.endpointId()), "sent to a draining endpoint: " + a);
          assertTrue(out.get(r.requestId()).isEmpty(), "two attempts out: " + a);
          assertTrue(
              repeat != Idempotency.AT_MOST_ONCE || !mayHaveRun.get(r.requestId()),
              "run twice: " + a);
          sent.get(r.requestId()).add(a);
          assertTrue(sent.get(r.requestId()).size() <= 3, "too many attempts: " + a);
          out.get(r.requestId()).add(sent.get(r.requestId()).size() - 1);
        } else if (action instanceof RejectRequest a) {
          boolean safe = repeat != Idempotency.AT_MOST_ONCE || !mayHaveRun.get(a.requestId());
          assertTrue(
              safe && (repeat != Idempotency.AT_MOST_ONCE || out.get(a.requestId()).isEmpty()),
              "" + a);
          answered(a.requestId());
        } else if (action instanceof FailRequest a) {
          answered(a.requestId());
        } else if (action instanceof AddToCounter c) {
          counts.add(c);
        } else if (action instanceof ScheduleTimer w) {
          wakes.put(w.timer(), harness.nowMicros + w.delayMicros());
        } else if (action instanceof CancelAttempt c) {
          assertTrue(c.attemptIndex() < sent.get(c.requestId()).size(), "never made: " + c);
        }
      }
    }

    private void answered(long id) {
      RequestArrived r = open.remove(id);
      assertTrue(r != null, "answered twice: " + id);
      assertTrue(harness.nowMicros <= r.deadlineAtMicros() + 16_000, "answered late: " + id);
    }
  }
}
