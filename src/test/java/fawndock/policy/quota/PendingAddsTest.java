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

/** Tests additions that failed and wait for another call. */
class PendingAddsTest extends QuotaFixture {
  @Test
  void shedAdd_isSentAgainButTimedOutAddIsNot() {
    String name = single(AddToCounter.class, harness.request(1)).counterName();
    harness.onEvent(new CounterReply(name, CallResult.SHED, 0, 500));
    AddToCounter resentAdd = awaitFlush(name);
    assertEquals(1.0, resentAdd.amount(), "a shed call adds nothing");
    harness.onEvent(new CounterReply(name, CallResult.TIMEOUT, 0, 50_000));
    assertEquals(
        List.of(),
        allOf(
            AddToCounter.class,
            harness.onEvent(new TimerFired(new PolicyTimer.FlushPendingAdds(name)))),
        "a call that timed out may have added its units");
  }
}
