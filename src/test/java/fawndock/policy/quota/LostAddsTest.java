package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.config.Idempotency;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import java.util.ArrayDeque;
import org.junit.jupiter.api.Test;

/**
 * Guards against an endless loop of calls that restore additions, to a counter that loses each of
 * them.
 */
class LostAddsTest {
  private static final int REQUESTS = 50;

  /**
   * Each request's call, one call that restores what was lost, and the reads of the previous
   * window.
   */
  private static final int MAX_CALLS = 2 * REQUESTS + 2;

  @Test
  void counterThatKeepsLosingAdds_isNotCalledEndlessly() {
    PolicyHarness harness =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.ratePlan(1_000, 1_000), Idempotency.IDEMPOTENT, true, false),
            "a");
    int calls = 0;
    for (long id = 1; id <= REQUESTS; id++) {
      harness.nowMicros += 1_000;
      var callsInFlight = new ArrayDeque<>(allOf(AddToCounter.class, harness.request(id)));
      while (!callsInFlight.isEmpty()) {
        calls++;
        assertTrue(calls <= MAX_CALLS, calls + " counter calls for " + id + " requests");
        String name = callsInFlight.poll().counterName();
        callsInFlight.addAll(
            allOf(
                AddToCounter.class,
                harness.onEvent(new CounterReply(name, CallResult.OK, 1, 1_000))));
      }
    }
  }
}
