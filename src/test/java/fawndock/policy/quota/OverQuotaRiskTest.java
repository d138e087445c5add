package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;
import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.Idempotency;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests that do not call a throttled counter. */
class OverQuotaRiskTest extends QuotaFixture {
  @Test
  void throttled_customerOfMuchDemandIsRejected() {
    PolicyHarness many =
        new PolicyHarness(
            PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true),
            "a",
            "b");
    throttle(many);
    int sent = 0;
    for (long id = 1; id <= 200; id++) {
      many.nowMicros += 5_000;
      List<PolicyAction> actions = many.onEvent(request(many, id, "greedy"));
      sent += allOf(StartAttempt.class, actions).size();
      allOf(StartAttempt.class, actions)
          .forEach(
              a -> many.completeAttempt(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
    }
    assertTrue(sent < 40, sent + " sent");
  }

  @Test
  void rejected_answeredInTheSameEventWithRetryAfter() {
    for (long id = 1; id <= 4; id++) {
      answerCalls(harness.request(id));
    }
    AddToCounter add = single(AddToCounter.class, harness.request(5));
    long wait =
        single(
                RejectRequest.class,
                harness.onEvent(new CounterReply(add.counterName(), CallResult.OK, 5, 500)))
            .retryAfterMicros();
    assertTrue(
        wait >= PolicyHarness.SECOND_MICROS && wait <= 4 * PolicyHarness.SECOND_MICROS,
        "store refills in 4 s, actions " + wait);
    throttle(harness);
    assertEquals(
        1,
        allOf(RejectRequest.class, harness.request(6)).size(),
        "proven over quota, counter throttled");
    PolicyHarness risky =
        new PolicyHarness(
            PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true),
            "a",
            "b");
    throttle(risky);
    int rejected = 0;
    for (long id = 1; id <= 300; id++) {
      List<PolicyAction> actions = risky.onEvent(request(risky, id, "greedy"));
      allOf(StartAttempt.class, actions)
          .forEach(
              a -> risky.completeAttempt(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
      boolean isPending =
          !allOf(AddToCounter.class, actions).isEmpty()
              || !allOf(StartAttempt.class, actions).isEmpty();
      assertEquals(
          isPending ? 0 : 1,
          allOf(RejectRequest.class, actions).size(),
          "neither pending nor answered: " + id);
      rejected += isPending ? 0 : 1;
    }
    assertTrue(rejected > 0, "none rejected without a call");
  }
}
