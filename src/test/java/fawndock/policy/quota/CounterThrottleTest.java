package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;
import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.Idempotency;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which share of requests calls a slow counter. */
class CounterThrottleTest extends QuotaFixture {
  @Test
  void throttled_fewRequestsCallTheCounterAndLowDemandIsAdmitted() {
    PolicyHarness gateway =
        new PolicyHarness(
            PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true),
            "a",
            "b");
    throttle(gateway);
    int calls = 0;
    int forwarded = 0;
    for (long id = 1; id <= 100; id++) {
      gateway.nowMicros += 100_000;
      List<PolicyAction> actions = gateway.onEvent(request(gateway, id, "calm" + id));
      calls += allOf(AddToCounter.class, actions).size();
      forwarded += allOf(StartAttempt.class, actions).size();
      allOf(StartAttempt.class, actions)
          .forEach(
              attempt ->
                  gateway.completeAttempt(
                      attempt.requestId(), 0, attempt.endpointId(), CallResult.OK, true));
    }
    assertTrue(calls < 20, calls + " counter calls");
    assertTrue(forwarded > 80, forwarded + " forwarded");
  }

  @Test
  void afterThrottling_oneCallPerRequestForFiveSeconds() {
    String name =
        single(AddToCounter.class, harness.onEvent(request(harness, 1, "first"))).counterName();
    harness.onEvent(new CounterReply(name, CallResult.SHED, 0, 500));
    for (long id = 2; id <= 60; id++) {
      replyToCounterCalls(harness.onEvent(request(harness, id, "calm" + id)));
    }
    assertEquals(0, countSecondCalls(100), "no second call within five seconds after throttling");
    harness.nowMicros += 6 * PolicyHarness.SECOND_MICROS;
    assertEquals(1, countSecondCalls(101), "the previous window is read");
  }

  @Test
  void promptUnreadableReplies_doNotThrottle() {
    for (long id = 1; id <= 40; id++) {
      harness.nowMicros += 20_000;
      String name = single(AddToCounter.class, harness.request(id)).counterName();
      harness.onEvent(new CounterReply(name, CallResult.TIMEOUT, 0, 500));
    }
  }

  @Test
  void promptReplies_endThrottling() {
    throttle(harness);
    int calls = 0;
    for (long id = 1; id <= 3000; id++) {
      harness.nowMicros += 10_000;
      List<PolicyAction> actions =
          new ArrayList<>(harness.onEvent(request(harness, id, "calm" + id)));
      int newCalls = allOf(AddToCounter.class, actions).size();
      calls += id > 2900 ? newCalls : 0;
      replyToCounterCalls(actions);
    }
    assertTrue(calls >= 100, calls + " counter calls for the last 100 requests");
  }

  private int countSecondCalls(long id) {
    AddToCounter firstCall =
        single(AddToCounter.class, harness.onEvent(request(harness, id, "new" + id)));
    return allOf(
            AddToCounter.class,
            harness.onEvent(
                new CounterReply(
                    firstCall.counterName(), CallResult.OK, firstCall.amount(), 1_000)))
        .size();
  }
}
