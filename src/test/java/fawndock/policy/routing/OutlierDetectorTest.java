package fawndock.policy.routing;

import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.Idempotency;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.ClientDisconnected;
import fawndock.policy.event.LoadReport;
import org.junit.jupiter.api.Test;

/** Tests the ejection of endpoints that fail. */
class OutlierDetectorTest {
  @Test
  void consecutiveFailures_ejectTheEndpoint() {
    PolicyHarness harness = gateway(Idempotency.IDEMPOTENT, "a", "b", "c");
    int failedAttempts = 0;
    for (long id = 1; id <= 40; id++) {
      harness.nowMicros += 10_000;
      String endpointId = single(StartAttempt.class, harness.request(id)).endpointId();
      boolean isFailing = endpointId.equals("a");
      failedAttempts += isFailing ? 1 : 0;
      harness.completeAttempt(
          id, 0, endpointId, isFailing ? CallResult.RESET : CallResult.OK, !isFailing);
      if (isFailing) {
        harness.onEvent(new ClientDisconnected(id));
      }
    }
    assertTrue(failedAttempts <= 3, "sent to the failing endpoint " + failedAttempts + " times");
  }

  /**
   * An endpoint that returns errors at once has a low latency, which does not mean that it has free
   * capacity.
   */
  @Test
  void endpointThatFailsFast_attractsNoTraffic() {
    PolicyHarness harness = gateway(Idempotency.AT_MOST_ONCE, "a", "b", "c");
    int attemptsAtFailingEndpoint = 0;
    for (int id = 1; id <= 300; id++) {
      harness.nowMicros += 50_000;
      String endpointId = single(StartAttempt.class, harness.request(id)).endpointId();
      boolean isFailing = endpointId.equals("a") && id % 5 != 0;
      attemptsAtFailingEndpoint += endpointId.equals("a") ? 1 : 0;
      harness.onEvent(
          new AttemptCompleted(
              id,
              0,
              endpointId,
              endpointId.equals("a") ? 5_000 : 150_000,
              isFailing ? CallResult.ERROR : CallResult.OK,
              true,
              0,
              LoadReport.NONE));
    }
    assertTrue(
        attemptsAtFailingEndpoint < 30,
        attemptsAtFailingEndpoint + " of 300 attempts sent to the failing endpoint");
  }

  private static PolicyHarness gateway(Idempotency idempotency, String... endpoints) {
    return new PolicyHarness(
        PolicyHarness.config(PolicyHarness.ratePlan(0, 0), idempotency, false, false), endpoints);
  }
}
