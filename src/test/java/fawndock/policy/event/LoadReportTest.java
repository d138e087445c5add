package fawndock.policy.event;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests load reports with and without values. */
class LoadReportTest {
  @Test
  void reportWithoutValues_isNone() {
    assertEquals(LoadReport.NONE, new LoadReport.Builder().build());
    assertTrue(new LoadReport.Builder().build().isNone());
  }

  @Test
  void reportWithAnyValueEvenZero_isNotNone() {
    assertFalse(new LoadReport.Builder().utilization(0).build().isNone());
    assertFalse(new LoadReport.Builder().queuedRequests(0).build().isNone());
    assertFalse(new LoadReport.Builder().inFlightRequests(0).build().isNone());
    assertFalse(new LoadReport.Builder().recentMillis(0).build().isNone());
    assertFalse(new LoadReport.Builder().requestsPerSecond(0).build().isNone());
    assertFalse(new LoadReport.Builder().errorsPerSecond(0).build().isNone());
  }

  @Test
  void valueNotReported_countsAsZero() {
    LoadReport report = new LoadReport.Builder().queuedRequests(2).build();
    assertEquals(2, LoadReport.orZero(report.queuedRequests()));
    assertEquals(0, LoadReport.orZero(report.utilization()));
  }
}
