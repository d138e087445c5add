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

/** A ceiling with and without the counter. */
class LocalTokenBucketTest extends QuotaFixture {
  @Test
  void ceiling_isKeptWithAndWithoutTheCounter() {
    PolicyHarness ceiling =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.ceilingPlan(2, 4), Idempotency.IDEMPOTENT, true, false),
            "a",
            "b");
    int sent = 0;
    for (long id = 1; id <= 10; id++) {
      sent += allOf(StartAttempt.class, answerCalls(ceiling, ceiling.request(id))).size();
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
}
