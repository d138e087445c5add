package fawndock.policy.routing;

import fawndock.policy.event.LoadReport;

/**
 * Holds the load that one endpoint last reported, without this instance's own attempts. Not
 * thread-safe.
 */
final class ReportedLoad {
  private static final long MAX_AGE_MICROS = 2_000_000;

  /** Ratio of the attempts of others at the endpoint that counts as load. */
  private static final double OTHER_ATTEMPTS_RATIO = 0.5;

  private double load;
  private long reportedAtMicros = Long.MIN_VALUE / 2;

  void record(LoadReport report, double ownInFlight, long nowMicros) {
    if (report.isNone()) {
      return;
    }
    double otherAttempts =
        Math.max(
            LoadReport.orZero(report.queuedRequests()),
            LoadReport.orZero(report.inFlightRequests()) - ownInFlight);
    load =
        OTHER_ATTEMPTS_RATIO * Math.max(0, otherAttempts) + LoadReport.orZero(report.utilization());
    reportedAtMicros = nowMicros;
  }

  /** Returns the reported load, or 0 if the report is too old to be used. */
  double current(long nowMicros) {
    return nowMicros - reportedAtMicros < MAX_AGE_MICROS ? load : 0;
  }
}
