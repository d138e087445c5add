package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;
import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.TimerFired;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests admission while the counter fails, does not reply or sheds all calls. */
class CounterReachabilityTest extends QuotaFixture {
  @Test
  void counterCallFails_requestIsAdmitted() {
    String name = single(AddToCounter.class, harness.request(1)).counterName();
    assertEquals(
        1,
        allOf(
                StartAttempt.class,
                harness.onEvent(new CounterReply(name, CallResult.CONNECT_FAILED, 0, 500)))
            .size());
  }

  @Test
  void counterDoesNotReply_requestIsAdmittedAfterCounterWaitTimeout() {
    harness.request(1);
    assertEquals(
        1,
        allOf(
                StartAttempt.class,
                harness.onEvent(new TimerFired(new PolicyTimer.CounterWaitTimeout(1))))
            .size());
  }

  @Test
  void unreachableCounter_isStillCalledAndAllRequestsAreAdmittedAtOnce() {
    int calls = 0;
    int forwarded = 0;
    for (long id = 1; id <= 400; id++) {
      harness.nowMicros += 50_000;
      List<PolicyAction> actions = new ArrayList<>(harness.onEvent(request(harness, id, "greedy")));
      for (AddToCounter add : allOf(AddToCounter.class, actions)) {
        actions.addAll(
            harness.onEvent(new CounterReply(add.counterName(), CallResult.TIMEOUT, 0, 50_000)));
      }
      calls += id > 200 ? allOf(AddToCounter.class, actions).size() : 0;
      forwarded += id > 200 ? allOf(StartAttempt.class, actions).size() : 0;
      allOf(StartAttempt.class, actions)
          .forEach(
              attempt ->
                  harness.completeAttempt(
                      attempt.requestId(), 0, attempt.endpointId(), CallResult.OK, true));
    }
    assertEquals(200, forwarded);
    assertTrue(calls > 0, "an unreachable counter is still called, to detect its recovery");
  }

  @Test
  void counterThatShedsAllCalls_isNotUnreachable() {
    throttle(harness);
    int forwarded = 0;
    for (long id = 1; id <= 400; id++) {
      harness.nowMicros += 50_000;
      List<PolicyAction> actions = harness.onEvent(request(harness, id, "greedy"));
      forwarded += allOf(StartAttempt.class, actions).size();
      allOf(StartAttempt.class, actions)
          .forEach(
              attempt ->
                  harness.completeAttempt(
                      attempt.requestId(), 0, attempt.endpointId(), CallResult.OK, true));
      allOf(AddToCounter.class, actions)
          .forEach(
              add -> harness.onEvent(new CounterReply(add.counterName(), CallResult.SHED, 0, 500)));
    }
    assertTrue(forwarded < 100, forwarded + " of 400 forwarded");
  }
}
