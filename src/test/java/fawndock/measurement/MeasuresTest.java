package fawndock.measurement;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.conformance.QuotaUsage;
import fawndock.conformance.TraceEvent;
import fawndock.policy.config.Plan;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class MeasuresTest {
  private static final long S = 1_000_000;
  private static final Map<String, Plan> PLANS =
      Map.of(
          "a-0",
          new Plan("p", 10, 20, 0, 1, 0, 0, 0, 0, 0),
          "a-1",
          new Plan("p", 10, 20, 0, 1, 0, 0, 0, 0, 0));

  /** So many a second, each used, from a second to another. */
  private static void even(QuotaUsage use, String customer, double aSecond, int from, int to) {
    for (int i = 0; i < (to - from) * aSecond; i++) {
      long at = from * S + (long) (i * S / aSecond);
      use.onRequest(at, customer, 1);
      use.onForwarded(at, customer, 1);
    }
  }

  @Test
  void useIsHeldAgainstThePlanOverTheWorstMinute() {
    QuotaUsage use = new QuotaUsage(PLANS, 130);
    even(use, "a-0", 10, 0, 70);
    even(use, "a-0", 20, 70, 130); // 10 a second allowed: twice that in the last minute.
    QuotaUsage.Summary of = use.summarize("a-0");
    assertEquals(2.0, of.peakPlanRatio(), 1e-9);
    assertEquals(1.0, of.entitledUseRatio(), 1e-9);
    assertEquals((60 * 20 - 60 * 10 - 20) / (60.0 * 10 + 60 * 10 + 20), of.excessRatio(), 0.01);
    even(use, "a-1", 5, 0, 130);
    assertEquals((20 + 5) / 20.0, use.summarize("a-").peakPlanRatio(), 1e-9);
    assertEquals(2.0, use.summarize("a-").peakCustomerPlanRatio(), 1e-9);
    assertEquals(0, new QuotaUsage(PLANS, 130).summarize("").peakPlanRatio());
  }

  @Test
  void theFirstTenSecondsDoNotCountAndWhatIsKeptIsOfWhatWasAskedAndAllowed() {
    QuotaUsage use = new QuotaUsage(PLANS, 70);
    even(use, "a-0", 100, 0, 10);
    assertEquals(0, use.summarize("").peakPlanRatio());
    for (int i = 0; i < 600; i++) { // Asked half its plan, and let in one time in two.
      use.onRequest(10 * S + i * S / 5, "a-0", 1);
      if (i % 2 == 0) {
        use.onForwarded(10 * S + i * S / 5, "a-0", 1);
      }
    }
    assertEquals(0.25, use.summarize("").peakPlanRatio(), 0.01);
    assertEquals(0.5, use.summarize("").entitledUseRatio(), 0.01);
    assertEquals(0, use.summarize("").excessRatio());
  }

  @Test
  void aCustomerIsModestWhileItAsksLessThanItsPlan() {
    QuotaUsage use = new QuotaUsage(PLANS, 100);
    even(use, "a-0", 8, 0, 30);
    assertTrue(use.isBelowPlanRate(30 * S, "a-0"));
    even(use, "a-0", 12, 30, 60);
    assertFalse(use.isBelowPlanRate(60 * S, "a-0"));
    assertTrue(use.isBelowPlanRate(90 * S, "a-0"), "it stopped asking");
    assertTrue(use.isBelowPlanRate(60 * S, "nobody"));
  }

  @Test
  void aTraceIsToldInFiguresAndBySecond() {
    List<TraceEvent> trace = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      String id = "r" + i + ".1";
      trace.add(new TraceEvent.RequestSent(S + i * S, id, 0, "lookup", "a-0", 1, S * 9));
      if (i < 3) {
        trace.add(new TraceEvent.AttemptArrived(S + i * S + 5, id, "w", 1, false));
      }
    }
    trace.add(new TraceEvent.AttemptArrived(S + 9, "r0.1", "v", 1, false));
    trace.add(new TraceEvent.ResponseReceived(S + 20_000, "r0.1", 200));
    trace.add(
        new TraceEvent.ResponseReceived(
            S + 30_000,
            "r0.1",
            200)); // A second answer is the conformance check's, and does not count here.
    trace.add(new TraceEvent.ResponseReceived(2 * S + 10_000, "r1.1", 504));
    trace.add(new TraceEvent.ClientDisconnected(3 * S + 10_000, "r2.1"));
    trace.add(new TraceEvent.ResponseReceived(4 * S + 10_000, "r3.1", 429));
    trace.add(new TraceEvent.ResponseReceived(4 * S + 10_000, "unknown.1", 200));
    TraceMetrics.Metrics told = TraceMetrics.of(trace, Map.of(), PLANS, List.of("a"), 0, 6);
    assertEquals(Map.of(200, 1L, 504, 1L, 0, 1L, 429, 1L), told.responsesByStatus());
    assertEquals(0.25, told.figures().get("served-a-try"));
    assertEquals(0.25, told.figures().get("refused-within-plan-a-try"));
    assertEquals(1.0, told.figures().get("attempts-a-try"));
    assertEquals(0.25, told.figures().get("repeated-attempts-a-try"));
    assertEquals(20, told.figures().get("p50-ms"), 0.1);
    assertArrayEquals(new double[] {0, 1, 1, 1, 0, 0}, told.series().get("used a"));
    assertArrayEquals(new double[] {0, 1, 1, 1, 1, 0}, told.series().get("asked"));
  }
}
