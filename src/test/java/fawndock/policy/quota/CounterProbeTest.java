package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.event.CallResult;
import org.junit.jupiter.api.Test;

/** Counter calls of an instance that has few requests. */
class CounterProbeTest extends LargeFleetFixture {
  @Test
  void promptCounter_isCalledForEachRequestFromTheFirst() {
    assertEquals(20, countCalls(20, PolicyHarness.SECOND_MICROS, CallResult.OK));
  }

  @Test
  void unknownCounter_oneCallInFlightAtATime() {
    assertEquals(1, allOf(AddToCounter.class, request(harness, "one")).size());
    int more = 0;
    for (int i = 0; i < 100; i++) {
      more += allOf(AddToCounter.class, request(harness, "more" + i)).size();
    }
    assertTrue(more < 10, "calls beside the one in flight: " + more);
  }

  @Test
  void failures_backOffAndAReplyEndsThat() {
    int first = countCalls(120, PolicyHarness.SECOND_MICROS / 2, CallResult.TIMEOUT);
    assertTrue(first >= 10 && first < 30, "of 120 in a minute: " + first);
    assertTrue(
        countCalls(20, PolicyHarness.SECOND_MICROS, CallResult.OK) >= 12,
        "the gap is gone with the first answer");
  }

  @Test
  void shedCalls_doNotBackOff() {
    assertEquals(20, countCalls(20, PolicyHarness.SECOND_MICROS, CallResult.SHED));
  }
}
