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

/** Tests requests that do not call a throttled counter. */
class OverQuotaRiskTest extends QuotaFixture {
  @Test
  void throttled_highDemandCustomerIsRejected() {
    PolicyHarness gateway =
        new PolicyHarness(
            PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true),
            "a",
            "b");
    throttle(gateway);
    int forwarded = 0;
    for (long id = 1; id <= 200; id++) {
      gateway.nowMicros += 5_000;
      List<PolicyAction> actions = gateway.onEvent(request(gateway, id, "greedy"));
      forwarded += allOf(StartAttempt.class, actions).size();
      allOf(StartAttempt.class, actions)
          .forEach(
              attempt ->
                  gateway.completeAttempt(
                      attempt.requestId(), 0, attempt.endpointId(), CallResult.OK, true));
    }
    assertTrue(forwarded < 40, forwarded + " forwarded");
  }

  @Test
  void rejectedRequest_isAnsweredInTheSameEventWithRetryAfter() {
    for (long id = 1; id <= 4; id++) {
      replyToCounterCalls(harness.request(id));
    }
    AddToCounter add = single(AddToCounter.class, harness.request(5));
    long retryAfterMicros =
        single(
                RejectRequest.class,
                harness.onEvent(new CounterReply(add.counterName(), CallResult.OK, 5, 500)))
            .retryAfterMicros();
    assertTrue(
        retryAfterMicros >= PolicyHarness.SECOND_MICROS
            && retryAfterMicros <= 4 * PolicyHarness.SECOND_MICROS,
        "the burst refills in 4 s, retry-after in microseconds: " + retryAfterMicros);
    throttle(harness);
    assertEquals(
        1,
        allOf(RejectRequest.class, harness.request(6)).size(),
        "proven over quota, counter throttled");
    PolicyHarness gateway =
        new PolicyHarness(
            PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true),
            "a",
            "b");
    throttle(gateway);
    int rejected = 0;
    for (long id = 1; id <= 300; id++) {
      List<PolicyAction> actions = gateway.onEvent(request(gateway, id, "greedy"));
      allOf(StartAttempt.class, actions)
          .forEach(
              attempt ->
                  gateway.completeAttempt(
                      attempt.requestId(), 0, attempt.endpointId(), CallResult.OK, true));
      boolean isPending =
          !allOf(AddToCounter.class, actions).isEmpty()
              || !allOf(StartAttempt.class, actions).isEmpty();
      assertEquals(
          isPending ? 0 : 1,
          allOf(RejectRequest.class, actions).size(),
          "the request is neither pending nor answered: " + id);
      rejected += isPending ? 0 : 1;
    }
    assertTrue(rejected > 0, "no request was rejected without a counter call");
  }
}
