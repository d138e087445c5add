package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;
import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertEquals;

import fawndock.policy.action.AddToCounter;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.TimerFired;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Adds that failed and wait for a call. */
class PendingAddsTest extends QuotaFixture {
  @Test
  void failedAddIsSentAgain_addWithoutAnswerIsNot() {
    String name = single(AddToCounter.class, harness.request(1)).counterName();
    harness.onEvent(new CounterReply(name, CallResult.SHED, 0, 500));
    AddToCounter late = flushedAdd(name);
    assertEquals(1.0, late.amount(), "it surely was not added");
    harness.onEvent(new CounterReply(name, CallResult.TIMEOUT, 0, 50_000));
    assertEquals(
        List.of(),
        allOf(
            AddToCounter.class,
            harness.onEvent(new TimerFired(new PolicyTimer.FlushPendingAdds(name)))),
        "it may have been added");
  }
}
