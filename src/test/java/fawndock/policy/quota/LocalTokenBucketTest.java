package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;
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

/** Tests that a ceiling is enforced with and without the counter. */
class LocalTokenBucketTest extends QuotaFixture {
  @Test
  void ceiling_isEnforcedWithAndWithoutTheCounter() {
    PolicyHarness gateway =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.ceilingPlan(2, 4), Idempotency.IDEMPOTENT, true, false),
            "a",
            "b");
    int forwarded = 0;
    for (long id = 1; id <= 10; id++) {
      forwarded +=
          allOf(StartAttempt.class, replyToCounterCalls(gateway, gateway.request(id))).size();
    }
    assertEquals(4, forwarded);
    int forwardedWithoutCounter = 0;
    for (long id = 11; id <= 30; id++) {
      List<PolicyAction> actions = new ArrayList<>(gateway.request(id));
      gateway.nowMicros += 100_000;
      for (AddToCounter add : allOf(AddToCounter.class, actions)) {
        actions.addAll(
            gateway.onEvent(
                new CounterReply(add.counterName(), CallResult.CONNECT_FAILED, 0, 500)));
      }
      forwardedWithoutCounter += allOf(StartAttempt.class, actions).size();
    }
    assertTrue(
        forwardedWithoutCounter <= 2,
        "half the rate for two seconds is two units, not " + forwardedWithoutCounter);
  }
}
