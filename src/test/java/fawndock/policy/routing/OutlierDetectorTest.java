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

/** Endpoints that fail. */
class OutlierDetectorTest {
  @Test
  void failuresInARow_ejectTheEndpoint() {
    PolicyHarness harness = gateway(Idempotency.IDEMPOTENT, "a", "b", "c");
    int failed = 0;
    for (long id = 1; id <= 40; id++) {
      harness.nowMicros += 10_000;
      String endpointId = single(StartAttempt.class, harness.request(id)).endpointId();
      boolean bad = endpointId.equals("a");
      failed += bad ? 1 : 0;
      harness.completeAttempt(id, 0, endpointId, bad ? CallResult.RESET : CallResult.OK, !bad);
      if (bad) {
        harness.onEvent(new ClientDisconnected(id));
      }
    }
    assertTrue(failed <= 3, "sent to the failing endpoint " + failed + " times");
  }

  /** One that answers errors at once looks quick, and is not idle for being so. */
  @Test
  void endpointThatFailsFast_drawsNoTraffic() {
    PolicyHarness harness = gateway(Idempotency.AT_MOST_ONCE, "a", "b", "c");
    int failing = 0;
    for (int id = 1; id <= 300; id++) {
      harness.nowMicros += 50_000;
      String endpointId = single(StartAttempt.class, harness.request(id)).endpointId();
      boolean fails = endpointId.equals("a") && id % 5 != 0;
      failing += endpointId.equals("a") ? 1 : 0;
      harness.onEvent(
          new AttemptCompleted(
              id,
              0,
              endpointId,
              endpointId.equals("a") ? 5_000 : 150_000,
              fails ? CallResult.ERROR : CallResult.OK,
              true,
              0,
              LoadReport.NONE));
    }
    assertTrue(failing < 30, failing + " of 300 went to the one that fails");
  }

  private static PolicyHarness gateway(Idempotency repeat, String... endpoints) {
    return new PolicyHarness(
        PolicyHarness.config(PolicyHarness.ratePlan(0, 0), repeat, false, false), endpoints);
  }
}
