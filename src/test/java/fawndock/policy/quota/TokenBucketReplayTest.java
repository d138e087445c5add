package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;
import static org.junit.jupiter.api.Assertions.assertEquals;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.event.CallResult;
import org.junit.jupiter.api.Test;

/** Tests that a refilled burst is available where the window estimate alone would reject. */
class TokenBucketReplayTest extends QuotaFixture {
  @Test
  void refilledBurst_isAdmittedThoughTheWindowEstimateIsAtTheLimit() {
    for (long id = 1; id <= 5; id++) {
      for (StartAttempt attempt :
          allOf(StartAttempt.class, replyToCounterCalls(harness.request(id)))) {
        harness.completeAttempt(id, 0, attempt.endpointId(), CallResult.OK, true);
      }
    }
    harness.nowMicros += PolicyHarness.SECOND_MICROS + PolicyHarness.SECOND_MICROS / 2;
    assertEquals(1, allOf(StartAttempt.class, replyToCounterCalls(harness.request(6))).size());
    assertEquals(
        1,
        allOf(RejectRequest.class, replyToCounterCalls(harness.request(7))).size(),
        "one unit has been refilled, not two");
  }
}
