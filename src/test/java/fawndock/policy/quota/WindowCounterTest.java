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

/** Totals that are lost or absurd. */
class WindowCounterTest extends QuotaFixture {
  @Test
  void counterLostItsTotal_ownAddsArePutBack() {
    answerCalls(harness.request(1));
    answerCalls(harness.request(2));
    counter.clear();
    List<PolicyAction> third = answerCalls(harness.request(3));
    assertTrue(
        allOf(AddToCounter.class, third).stream().anyMatch(c -> c.amount() == 2.0),
        third.toString());
    assertEquals(3.0, counter.values().stream().mapToDouble(v -> v).sum());
  }

  @Test
  void absurdTotals_putBackNoMoreThanOwnAdds() {
    double[] totals = {-1e12, 1e300, Double.NaN, Double.NEGATIVE_INFINITY, 0, 5};
    for (long id = 1; id <= totals.length; id++) {
      for (AddToCounter c : allOf(AddToCounter.class, harness.request(id))) {
        for (AddToCounter next :
            allOf(
                AddToCounter.class,
                harness.onEvent(
                    new CounterReply(
                        c.counterName(), CallResult.OK, totals[(int) id - 1], 1_000)))) {
          assertTrue(Math.abs(next.amount()) <= 10, "puts back no more than its own: " + next);
        }
      }
      harness.nowMicros += 100_000;
    }
  }
}
