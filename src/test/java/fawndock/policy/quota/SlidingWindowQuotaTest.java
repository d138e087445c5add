package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;
import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests requests against the sliding window of a plan with a burst. */
class SlidingWindowQuotaTest extends QuotaFixture {
  @Test
  void estimate_weightsPreviousWindowByItsRemainingPart() {
    assertEquals(10.0, fawndock.policy.quota.SlidingWindowQuota.estimate(10, 0, 0, 100));
    assertEquals(2.5 + 3, fawndock.policy.quota.SlidingWindowQuota.estimate(10, 3, 75, 100));
    assertEquals(
        3.0,
        fawndock.policy.quota.SlidingWindowQuota.estimate(-5, 3, 10, 100),
        "a negative previous total counts as 0");
  }

  @Test
  void requestBeyondBurst_isRejectedAndItsAddWithdrawn() {
    for (long id = 1; id <= 4; id++) {
      assertEquals(1, allOf(StartAttempt.class, replyToCounterCalls(harness.request(id))).size());
    }
    List<PolicyAction> fifthActions = replyToCounterCalls(harness.request(5));
    assertEquals(0, allOf(StartAttempt.class, fifthActions).size());
    assertEquals(
        4 * PolicyHarness.SECOND_MICROS,
        single(RejectRequest.class, fifthActions).retryAfterMicros(),
        "the time left in the window");
    assertEquals(4.0, counter.values().stream().mapToDouble(total -> total).sum());
  }

  @Test
  void quotaUsedUpByPeers_requestIsRejected() {
    String name = single(AddToCounter.class, harness.request(1)).counterName();
    counter.put(name, 5.0);
    List<PolicyAction> actions =
        new ArrayList<>(
            replyToCounterCalls(
                harness.onEvent(new CounterReply(name, CallResult.OK, 5.0, 1_000))));
    assertEquals(1, allOf(RejectRequest.class, actions).size());
  }

  @Test
  void nextWindow_hasItsOwnCounter() {
    String firstCounterName = single(AddToCounter.class, harness.request(1)).counterName();
    harness.nowMicros += 4 * PolicyHarness.SECOND_MICROS;
    assertNotEquals(
        firstCounterName, allOf(AddToCounter.class, harness.request(2)).get(0).counterName());
  }
}
