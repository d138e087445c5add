package fawndock.policy.routing;

import fawndock.policy.event.LoadReport;

/** What one endpoint last reported of its load, without this instance's own attempts. */
final class ReportedLoad {
  private static final long MAX_AGE_MICROS = 2_000_000;

  /** Of the attempts of others at the endpoint: how many count as load. */
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

  /** The load reported, 0 when the report is too old to say anything. */
  double current(long nowMicros) {
    return nowMicros - reportedAtMicros < MAX_AGE_MICROS ? load : 0;
  }
}
