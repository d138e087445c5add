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

/** A counter that fails, is silent or sheds all calls. */
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
  void counterDoesNotReply_requestIsAdmittedAfterTheWait() {
    harness.request(1);
    assertEquals(
        1,
        allOf(
                StartAttempt.class,
                harness.onEvent(new TimerFired(new PolicyTimer.CounterWaitTimeout(1))))
            .size());
  }

  @Test
  void unreachableCounter_isStillCalledAndAllAreAdmittedAtOnce() {
    int calls = 0;
    int sent = 0;
    for (long id = 1; id <= 400; id++) {
      harness.nowMicros += 50_000;
      List<PolicyAction> actions = new ArrayList<>(harness.onEvent(request(harness, id, "greedy")));
      for (AddToCounter c : allOf(AddToCounter.class, actions)) {
        actions.addAll(
            harness.onEvent(new CounterReply(c.counterName(), CallResult.TIMEOUT, 0, 50_000)));
      }
      calls += id > 200 ? allOf(AddToCounter.class, actions).size() : 0;
      sent += id > 200 ? allOf(StartAttempt.class, actions).size() : 0;
      allOf(StartAttempt.class, actions)
          .forEach(
              a -> harness.completeAttempt(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
    }
    assertEquals(200, sent);
    assertTrue(calls > 0, "the return of the counter must be found");
  }

  @Test
  void counterThatShedsAllCalls_isNotUnreachable() {
    throttle(harness);
    int sent = 0;
    for (long id = 1; id <= 400; id++) {
      harness.nowMicros += 50_000;
      List<PolicyAction> actions = harness.onEvent(request(harness, id, "greedy"));
      sent += allOf(StartAttempt.class, actions).size();
      allOf(StartAttempt.class, actions)
          .forEach(
              a -> harness.completeAttempt(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
      allOf(AddToCounter.class, actions)
          .forEach(
              c -> harness.onEvent(new CounterReply(c.counterName(), CallResult.SHED, 0, 500)));
    }
    assertTrue(sent < 100, sent + " of 400 sent");
  }
}
