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

/** What a request adds to its counters, and what is taken back. */
class QuotaChargingTest extends QuotaFixture {
  @Test
  void request_addsItsUnitsBeforeItIsSent() {
    List<PolicyAction> actions = harness.request(1, 2);
    assertEquals(2.0, single(AddToCounter.class, actions).amount());
    assertTrue(allOf(StartAttempt.class, actions).isEmpty());
    assertEquals(1, allOf(StartAttempt.class, answerCalls(actions)).size());
  }

  @Test
  void provenOverQuota_requestOnlyReads() {
    for (long id = 1; id <= 5; id++) {
      answerCalls(harness.request(id));
    }
    assertEquals(0.0, single(AddToCounter.class, harness.request(6)).amount());
  }

  @Test
  void throttled_countedRequestAddsForUncountedOnesUpToTheLimit() {
    PolicyHarness many =
        new PolicyHarness(
            PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true),
            "a",
            "b");
    throttle(many);
    double most = 0;
    for (long id = 1; id <= 400; id++) {
      many.nowMicros += 10_000;
      for (AddToCounter c :
          allOf(AddToCounter.class, many.onEvent(request(many, id, "calm" + id)))) {
        most = Math.max(most, c.amount());
      }
    }
    assertEquals(4.0, most, "the limit at most");
  }

  @Test
  void settledUnits_differenceIsAdded() {
    StartAttempt sent = single(StartAttempt.class, answerCalls(harness.request(1, 2)));
    assertEquals(
        1.5,
        single(
                AddToCounter.class,
                harness.onEvent(
                    new AttemptCompleted(
                        1,
                        0,
                        sent.endpointId(),
                        100_000,
                        CallResult.OK,
                        true,
                        3.5,
                        LoadReport.NONE)))
            .amount());
  }

  @Test
  void clientLeavesBeforeSending_addIsTakenBack() {
    assertEquals(1.0, single(AddToCounter.class, harness.request(1)).amount());
    assertEquals(
        -1.0, single(AddToCounter.class, harness.onEvent(new ClientDisconnected(1))).amount());
  }
}
