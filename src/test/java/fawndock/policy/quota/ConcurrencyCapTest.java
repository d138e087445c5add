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

/** Tests that the limit on attempts in flight is kept with one counter call per request. */
class ConcurrencyCapTest extends QuotaFixture {
  @Test
  void concurrencyLimit_isKeptWithOneCallPerRequest() {
    PolicyHarness gateway =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.concurrencyPlan(8), Idempotency.IDEMPOTENT, true, false),
            "a",
            "b",
            "c");
    int counterCalls = 0;
    int started = 0;
    for (long id = 1; id <= 40; id++) {
      List<PolicyAction> actions = gateway.request(id);
      counterCalls += allOf(AddToCounter.class, actions).size();
      started += allOf(StartAttempt.class, replyToCounterCalls(gateway, actions)).size();
    }
    assertTrue(started > 4 && started < 8, started + " attempts started at once");
    assertEquals(40, counterCalls);
    gateway.nowMicros += PolicyHarness.SECOND_MICROS;
    gateway.onEvent(
        new EndpointUpdate(
            EndpointUpdateKind.CHANGES,
            List.of(PolicyHarness.endpoint("d", EndpointState.RUNNING, 0))));
    assertEquals(
        1,
        allOf(StartAttempt.class, replyToCounterCalls(gateway, gateway.request(41))).size(),
        "the attempts of the previous window have expired");
  }
}
