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

/** Tests the rules that hold for every sequence of events. */
class RandomEventsTest {
  /**
   * Plays random sequences of valid events: each request gets one response in time, and no attempt
   * is sent after it or in violation of the idempotency of its class.
   */
  @ParameterizedTest
  @EnumSource(Idempotency.class)
  void randomEvents_satisfyTheRulesAndAreDeterministic(Idempotency idempotency) {
    for (long seed = 1; seed <= 40; seed++) {
      List<PolicyAction> first = new RandomRun(idempotency, seed).run();
      assertEquals(
          first, new RandomRun(idempotency, seed).run(), "the same events give the same actions");
    }
  }

  /**
   * Plays a random sequence of events to one instance, carries out its actions and checks the rules
   * on them.
   */
  private static final class RandomRun {
    private final Random random;
    private final Idempotency idempotency;
    private final PolicyHarness harness;
    private final Map<Long, RequestArrived> unanswered = new LinkedHashMap<>();
    private final Map<Long, List<StartAttempt>> sent = new LinkedHashMap<>();
    private final Map<Long, List<Integer>> inFlight = new LinkedHashMap<>();
    private final Map<Long, Boolean> mayHaveTakenEffect = new LinkedHashMap<>();
    private final List<AddToCounter> counterCalls = new ArrayList<>();
    private final Map<PolicyTimer, Long> timers = new LinkedHashMap<>();
    private final Set<String> draining = new LinkedHashSet<>();
    private final List<PolicyAction> allActions = new ArrayList<>();

    RandomRun(Idempotency idempotency, long seed) {
      this.idempotency = idempotency;
      this.random = new Random(seed);
      this.harness =
          new PolicyHarness(
              PolicyHarness.config(PolicyHarness.ratePlan(20, 10), idempotency, true, true),
              "a",
              "b",
              "c");
    }

    List<PolicyAction> run() {
      for (long id = 1; id <= 300; id++) {
        harness.nowMicros += random.nextInt(20_000);
        RequestArrived request =
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
        unanswered.put(id, request);
        sent.put(id, new ArrayList<>());
        inFlight.put(id, new ArrayList<>());
        mayHaveTakenEffect.put(id, false);
        carryOut(harness.onEvent(request));
        step();
      }
      long endMicros = harness.nowMicros + 5_000_000;
      while (harness.nowMicros < endMicros) {
        harness.nowMicros += 2_000;
        step();
      }
      assertTrue(unanswered.isEmpty(), "requests without a response: " + unanswered.keySet());
      return allActions;
    }

    private void step() {
      for (PolicyTimer timer : List.copyOf(timers.keySet())) {
        if (timers.get(timer) <= harness.nowMicros) {
          timers.remove(timer);
          carryOut(harness.onEvent(new TimerFired(timer)));
        }
      }
      if (!counterCalls.isEmpty() && random.nextBoolean()) {
        AddToCounter call = counterCalls.remove(0);
        CallResult[] results = {CallResult.OK, CallResult.OK, CallResult.SHED, CallResult.TIMEOUT};
        carryOut(
            harness.onEvent(
                new CounterReply(
                    call.counterName(), results[random.nextInt(4)], random.nextInt(8), 1_000)));
      }
      if (random.nextInt(10) == 0) {
        String endpointId = "abc".substring(random.nextInt(3)).substring(0, 1);
        boolean isDraining = draining.add(endpointId) || !draining.remove(endpointId);
        carryOut(
            harness.onEvent(
                new EndpointUpdate(
                    EndpointUpdateKind.CHANGES,
                    List.of(
                        PolicyHarness.endpoint(
                            endpointId,
                            isDraining ? EndpointState.DRAINING : EndpointState.RUNNING,
                            0)))));
      }
      for (long id : List.copyOf(inFlight.keySet())) {
        if (!inFlight.get(id).isEmpty() && random.nextInt(20) == 0) {
          completeAttempt(id);
        }
      }
    }

    private void completeAttempt(long id) {
      int attempt = inFlight.get(id).remove(0);
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
        unanswered.remove(id);
      }
      mayHaveTakenEffect.merge(id, result.mayHaveTakenEffect, Boolean::logicalOr);
      carryOut(
          harness.onEvent(
              new AttemptCompleted(
                  id,
                  attempt,
                  sent.get(id).get(attempt).endpointId(),
                  50_000,
                  result,
                  !unanswered.containsKey(id),
                  1,
                  new LoadReport.Builder().queuedRequests(1).build())));
    }

    private void carryOut(List<PolicyAction> actions) {
      allActions.addAll(actions);
      for (PolicyAction action : actions) {
        if (action instanceof StartAttempt start) {
          RequestArrived request = unanswered.get(start.requestId());
          assertTrue(request != null, "sent after its response: " + start);
          assertTrue(
              !draining.contains(start.endpointId()), "sent to a draining endpoint: " + start);
          assertTrue(
              inFlight.get(request.requestId()).isEmpty(), "two attempts in flight: " + start);
          assertTrue(
              idempotency != Idempotency.AT_MOST_ONCE
                  || !mayHaveTakenEffect.get(request.requestId()),
              "sent again after an attempt that may have taken effect: " + start);
          sent.get(request.requestId()).add(start);
          assertTrue(sent.get(request.requestId()).size() <= 3, "too many attempts: " + start);
          inFlight.get(request.requestId()).add(sent.get(request.requestId()).size() - 1);
        } else if (action instanceof RejectRequest reject) {
          boolean isRetrySafe =
              idempotency != Idempotency.AT_MOST_ONCE
                  || !mayHaveTakenEffect.get(reject.requestId());
          assertTrue(
              isRetrySafe
                  && (idempotency != Idempotency.AT_MOST_ONCE
                      || inFlight.get(reject.requestId()).isEmpty()),
              "rejected although a retry is not safe: " + reject);
          recordResponse(reject.requestId());
        } else if (action instanceof FailRequest fail) {
          recordResponse(fail.requestId());
        } else if (action instanceof AddToCounter call) {
          counterCalls.add(call);
        } else if (action instanceof ScheduleTimer schedule) {
          timers.put(schedule.timer(), harness.nowMicros + schedule.delayMicros());
        } else if (action instanceof CancelAttempt cancel) {
          assertTrue(
              cancel.attemptIndex() < sent.get(cancel.requestId()).size(),
              "cancelled an attempt that was not sent: " + cancel);
        }
      }
    }

    private void recordResponse(long id) {
      RequestArrived request = unanswered.remove(id);
      assertTrue(request != null, "answered twice: " + id);
      assertTrue(harness.nowMicros <= request.deadlineAtMicros() + 16_000, "answered late: " + id);
    }
  }
}
