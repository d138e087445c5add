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
  private static final long SECOND_MICROS = 1_000_000;
  private static final Map<String, Plan> PLANS =
      Map.of(
          "a-0",
          new Plan("p", 10, 20, 0, 1, 0, 0, 0, 0, 0),
          "a-1",
          new Plan("p", 10, 20, 0, 1, 0, 0, 0, 0, 0));

  /** Records requests at a constant rate, all of them forwarded. */
  private static void recordEvenTraffic(
      QuotaUsage quotaUsage,
      String customer,
      double requestsPerSecond,
      int fromSecond,
      int untilSecond) {
    for (int i = 0; i < (untilSecond - fromSecond) * requestsPerSecond; i++) {
      long atMicros = fromSecond * SECOND_MICROS + (long) (i * SECOND_MICROS / requestsPerSecond);
      quotaUsage.onRequest(atMicros, customer, 1);
      quotaUsage.onForwarded(atMicros, customer, 1);
    }
  }

  @Test
  void summarize_changingRates_usesTheWorstMinute() {
    QuotaUsage quotaUsage = new QuotaUsage(PLANS, 130);
    recordEvenTraffic(quotaUsage, "a-0", 10, 0, 70);
    recordEvenTraffic(quotaUsage, "a-0", 20, 70, 130); // Twice the plan's rate for a minute.
    QuotaUsage.Summary summary = quotaUsage.summarize("a-0");
    assertEquals(2.0, summary.peakPlanRatio(), 1e-9);
    assertEquals(1.0, summary.entitledUseRatio(), 1e-9);
    assertEquals(
        (60 * 20 - 60 * 10 - 20) / (60.0 * 10 + 60 * 10 + 20), summary.excessRatio(), 0.01);
    recordEvenTraffic(quotaUsage, "a-1", 5, 0, 130);
    assertEquals((20 + 5) / 20.0, quotaUsage.summarize("a-").peakPlanRatio(), 1e-9);
    assertEquals(2.0, quotaUsage.summarize("a-").peakCustomerPlanRatio(), 1e-9);
    assertEquals(0, new QuotaUsage(PLANS, 130).summarize("").peakPlanRatio());
  }

  @Test
  void summarize_afterTenSeconds_givesForwardedShareOfEntitledUnits() {
    QuotaUsage quotaUsage = new QuotaUsage(PLANS, 70);
    recordEvenTraffic(quotaUsage, "a-0", 100, 0, 10);
    assertEquals(0, quotaUsage.summarize("").peakPlanRatio());
    for (int i = 0; i < 600; i++) { // Half the plan's rate, every second request forwarded.
      quotaUsage.onRequest(10 * SECOND_MICROS + i * SECOND_MICROS / 5, "a-0", 1);
      if (i % 2 == 0) {
        quotaUsage.onForwarded(10 * SECOND_MICROS + i * SECOND_MICROS / 5, "a-0", 1);
      }
    }
    assertEquals(0.25, quotaUsage.summarize("").peakPlanRatio(), 0.01);
    assertEquals(0.5, quotaUsage.summarize("").entitledUseRatio(), 0.01);
    assertEquals(0, quotaUsage.summarize("").excessRatio());
  }

  @Test
  void isBelowPlanRate_recentDemand_isComparedWithPlan() {
    QuotaUsage quotaUsage = new QuotaUsage(PLANS, 100);
    recordEvenTraffic(quotaUsage, "a-0", 8, 0, 30);
    assertTrue(quotaUsage.isBelowPlanRate(30 * SECOND_MICROS, "a-0"));
    recordEvenTraffic(quotaUsage, "a-0", 12, 30, 60);
    assertFalse(quotaUsage.isBelowPlanRate(60 * SECOND_MICROS, "a-0"));
    assertTrue(
        quotaUsage.isBelowPlanRate(90 * SECOND_MICROS, "a-0"), "the customer stopped sending");
    assertTrue(quotaUsage.isBelowPlanRate(60 * SECOND_MICROS, "nobody"));
  }

  @Test
  void of_trace_givesFiguresAndSeries() {
    List<TraceEvent> trace = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      String requestId = "r" + i + ".1";
      trace.add(
          new TraceEvent.RequestSent(
              SECOND_MICROS + i * SECOND_MICROS,
              requestId,
              0,
              "lookup",
              "a-0",
              1,
              SECOND_MICROS * 9));
      if (i < 3) {
        trace.add(
            new TraceEvent.AttemptArrived(
                SECOND_MICROS + i * SECOND_MICROS + 5, requestId, "w", 1, false));
      }
    }
    trace.add(new TraceEvent.AttemptArrived(SECOND_MICROS + 9, "r0.1", "v", 1, false));
    trace.add(new TraceEvent.ResponseReceived(SECOND_MICROS + 20_000, "r0.1", 200));
    trace.add(
        new TraceEvent.ResponseReceived(
            SECOND_MICROS + 30_000,
            "r0.1",
            200)); // A duplicate response is ignored; only the conformance check reports it.
    trace.add(new TraceEvent.ResponseReceived(2 * SECOND_MICROS + 10_000, "r1.1", 504));
    trace.add(new TraceEvent.ClientDisconnected(3 * SECOND_MICROS + 10_000, "r2.1"));
    trace.add(new TraceEvent.ResponseReceived(4 * SECOND_MICROS + 10_000, "r3.1", 429));
    trace.add(new TraceEvent.ResponseReceived(4 * SECOND_MICROS + 10_000, "unknown.1", 200));
    TraceMetrics.Metrics metrics = TraceMetrics.of(trace, Map.of(), PLANS, List.of("a"), 0, 6);
    assertEquals(Map.of(200, 1L, 504, 1L, 0, 1L, 429, 1L), metrics.responsesByStatus());
    assertEquals(0.25, metrics.figures().get("served-a-try"));
    assertEquals(0.25, metrics.figures().get("refused-within-plan-a-try"));
    assertEquals(1.0, metrics.figures().get("attempts-a-try"));
    assertEquals(0.25, metrics.figures().get("repeated-attempts-a-try"));
    assertEquals(20, metrics.figures().get("p50-ms"), 0.1);
    assertArrayEquals(new double[] {0, 1, 1, 1, 0, 0}, metrics.series().get("used a"));
    assertArrayEquals(new double[] {0, 1, 1, 1, 1, 0}, metrics.series().get("asked"));
  }
}
