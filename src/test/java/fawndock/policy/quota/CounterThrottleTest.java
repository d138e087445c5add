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

/** The share of requests that call a slow counter. */
class CounterThrottleTest extends QuotaFixture {
  @Test
  void throttled_fewCallsAndCustomersOfLittleDemandAdmitted() {
    PolicyHarness many =
        new PolicyHarness(
            PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true),
            "a",
            "b");
    throttle(many);
    int calls = 0;
    int sent = 0;
    for (long id = 1; id <= 100; id++) {
      many.nowMicros += 100_000;
      List<PolicyAction> actions = many.onEvent(request(many, id, "calm" + id));
      calls += allOf(AddToCounter.class, actions).size();
      sent += allOf(StartAttempt.class, actions).size();
      allOf(StartAttempt.class, actions)
          .forEach(
              a -> many.completeAttempt(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
    }
    assertTrue(calls < 20, calls + " calls");
    assertTrue(sent > 80, sent + " sent");
  }

  @Test
  void afterThrottling_oneCallPerRequestForFiveSeconds() {
    String name =
        single(AddToCounter.class, harness.onEvent(request(harness, 1, "first"))).counterName();
    harness.onEvent(new CounterReply(name, CallResult.SHED, 0, 500));
    for (long id = 2; id <= 60; id++) {
      answerCalls(harness.onEvent(request(harness, id, "calm" + id)));
    }
    assertEquals(0, secondCalls(100), "five seconds have not passed");
    harness.nowMicros += 6 * PolicyHarness.SECOND_MICROS;
    assertEquals(1, secondCalls(101), "the window before is read");
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
      int now = allOf(AddToCounter.class, actions).size();
      calls += id > 2900 ? now : 0;
      answerCalls(actions);
    }
    assertTrue(calls >= 100, calls + " calls for the last 100");
  }

  private int secondCalls(long id) {
    AddToCounter first =
        single(AddToCounter.class, harness.onEvent(request(harness, id, "new" + id)));
    return allOf(
            AddToCounter.class,
            harness.onEvent(
                new CounterReply(first.counterName(), CallResult.OK, first.amount(), 1_000)))
        .size();
  }
}
