package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.Idempotency;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A cap on attempts in flight. */
class ConcurrencyCapTest extends QuotaFixture {
  @Test
  void cap_isKeptWithOneCallPerRequest() {
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
      sent += allOf(StartAttempt.class, answerCalls(open, actions)).size();
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
        allOf(StartAttempt.class, answerCalls(open, open.request(41))).size(),
        "what was in flight has expired");
  }
}
