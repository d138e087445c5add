package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;
import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.Idempotency;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.ClientDisconnected;
import fawndock.policy.event.LoadReport;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what a request adds to its counters and what is withdrawn. */
class QuotaChargingTest extends QuotaFixture {
  @Test
  void request_addsItsUnitsBeforeItIsForwarded() {
    List<PolicyAction> actions = harness.request(1, 2);
    assertEquals(2.0, single(AddToCounter.class, actions).amount());
    assertTrue(allOf(StartAttempt.class, actions).isEmpty());
    assertEquals(1, allOf(StartAttempt.class, replyToCounterCalls(actions)).size());
  }

  @Test
  void provenOverQuota_requestOnlyReads() {
    for (long id = 1; id <= 5; id++) {
      replyToCounterCalls(harness.request(id));
    }
    assertEquals(0.0, single(AddToCounter.class, harness.request(6)).amount());
  }

  @Test
  void throttled_countedRequestAddsForUncountedRequestsUpToTheLimit() {
    PolicyHarness gateway =
        new PolicyHarness(
            PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true),
            "a",
            "b");
    throttle(gateway);
    double maxAmount = 0;
    for (long id = 1; id <= 400; id++) {
      gateway.nowMicros += 10_000;
      for (AddToCounter add :
          allOf(AddToCounter.class, gateway.onEvent(request(gateway, id, "calm" + id)))) {
        maxAmount = Math.max(maxAmount, add.amount());
      }
    }
    assertEquals(4.0, maxAmount, "a call adds at most the limit");
  }

  @Test
  void settledUnits_differenceIsAdded() {
    StartAttempt attempt = single(StartAttempt.class, replyToCounterCalls(harness.request(1, 2)));
    assertEquals(
        1.5,
        single(
                AddToCounter.class,
                harness.onEvent(
                    new AttemptCompleted(
                        1,
                        0,
                        attempt.endpointId(),
                        100_000,
                        CallResult.OK,
                        true,
                        3.5,
                        LoadReport.NONE)))
            .amount());
  }

  @Test
  void clientDisconnectsBeforeForwarding_addIsWithdrawn() {
    assertEquals(1.0, single(AddToCounter.class, harness.request(1)).amount());
    assertEquals(
        -1.0, single(AddToCounter.class, harness.onEvent(new ClientDisconnected(1))).amount());
  }
}
