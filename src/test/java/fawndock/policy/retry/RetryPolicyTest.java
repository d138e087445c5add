package fawndock.policy.retry;

import static fawndock.policy.PolicyHarness.allOf;
import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.Idempotency;
import fawndock.policy.event.CallResult;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how often requests are retried. */
class RetryPolicyTest {
  @Test
  void attempts_doNotExceedTheLimit() {
    PolicyHarness harness = gateway(Idempotency.IDEMPOTENT, "a", "b", "c", "d", "e");
    String endpointId = single(StartAttempt.class, harness.request(1)).endpointId();
    endpointId =
        single(
                StartAttempt.class,
                harness.completeAttempt(1, 0, endpointId, CallResult.SHED, false))
            .endpointId();
    endpointId =
        single(
                StartAttempt.class,
                harness.completeAttempt(1, 1, endpointId, CallResult.SHED, false))
            .endpointId();
    single(RejectRequest.class, harness.completeAttempt(1, 2, endpointId, CallResult.SHED, false));
  }

  @Test
  void allAttemptsShed_retriesStayWithinTheBudget() {
    PolicyHarness harness = gateway(Idempotency.IDEMPOTENT, "a", "b", "c", "d", "e");
    int attempts = 0;
    for (long id = 1; id <= 100; id++) {
      harness.nowMicros += 1_000;
      List<StartAttempt> sent = allOf(StartAttempt.class, harness.request(id));
      for (int attempt = 0; !sent.isEmpty(); attempt++) {
        attempts++;
        sent =
            allOf(
                StartAttempt.class,
                harness.completeAttempt(
                    id, attempt, sent.get(0).endpointId(), CallResult.SHED, false));
      }
    }
    assertTrue(attempts <= 130, attempts + " attempts for 100 requests");
  }

  private static PolicyHarness gateway(Idempotency idempotency, String... endpoints) {
    return new PolicyHarness(
        PolicyHarness.config(PolicyHarness.ratePlan(0, 0), idempotency, false, false), endpoints);
  }
}
