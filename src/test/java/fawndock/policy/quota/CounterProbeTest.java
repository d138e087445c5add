package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.event.CallResult;
import org.junit.jupiter.api.Test;

/** Tests the counter calls of an instance that has few requests. */
class CounterProbeTest extends LargeFleetFixture {
  @Test
  void promptReplies_everyRequestCallsFromTheFirst() {
    assertEquals(20, countCalls(20, PolicyHarness.SECOND_MICROS, CallResult.OK));
  }

  @Test
  void noReplyYet_oneCallInFlightAtATime() {
    assertEquals(1, allOf(AddToCounter.class, request(harness, "one")).size());
    int additionalCalls = 0;
    for (int i = 0; i < 100; i++) {
      additionalCalls += allOf(AddToCounter.class, request(harness, "more" + i)).size();
    }
    assertTrue(additionalCalls < 10, "calls in addition to the one in flight: " + additionalCalls);
  }

  @Test
  void failures_increaseBackoffAndAReplyEndsIt() {
    int callsDuringFailures = countCalls(120, PolicyHarness.SECOND_MICROS / 2, CallResult.TIMEOUT);
    assertTrue(
        callsDuringFailures >= 10 && callsDuringFailures < 30,
        "calls for 120 requests in a minute: " + callsDuringFailures);
    assertTrue(
        countCalls(20, PolicyHarness.SECOND_MICROS, CallResult.OK) >= 12,
        "the first reply ends the backoff");
  }

  @Test
  void shedCalls_doNotIncreaseBackoff() {
    assertEquals(20, countCalls(20, PolicyHarness.SECOND_MICROS, CallResult.SHED));
  }
}
