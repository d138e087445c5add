package fawndock.policy.quota;

import static fawndock.policy.PolicyHarness.allOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests totals that the counter lost or that are invalid. */
class WindowCounterTest extends QuotaFixture {
  @Test
  void counterLosesItsTotal_ownAddsAreRestored() {
    replyToCounterCalls(harness.request(1));
    replyToCounterCalls(harness.request(2));
    counter.clear();
    List<PolicyAction> actions = replyToCounterCalls(harness.request(3));
    assertTrue(
        allOf(AddToCounter.class, actions).stream().anyMatch(add -> add.amount() == 2.0),
        actions.toString());
    assertEquals(3.0, counter.values().stream().mapToDouble(total -> total).sum());
  }

  @Test
  void invalidTotals_restoreNoMoreThanOwnAdds() {
    double[] totals = {-1e12, 1e300, Double.NaN, Double.NEGATIVE_INFINITY, 0, 5};
    for (long id = 1; id <= totals.length; id++) {
      for (AddToCounter add : allOf(AddToCounter.class, harness.request(id))) {
        for (AddToCounter restoringAdd :
            allOf(
                AddToCounter.class,
                harness.onEvent(
                    new CounterReply(
                        add.counterName(), CallResult.OK, totals[(int) id - 1], 1_000)))) {
          assertTrue(
              Math.abs(restoringAdd.amount()) <= 10,
              "restores no more than its own additions: " + restoringAdd);
        }
      }
      harness.nowMicros += 100_000;
    }
  }
}
