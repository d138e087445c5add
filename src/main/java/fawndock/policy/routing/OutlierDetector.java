package fawndock.policy.routing;

import java.util.List;

/**
 * Ejects an endpoint that fails several times in a row, for a time that doubles with each ejection.
 * After that time, the endpoint takes one attempt at a time until one succeeds. Not thread-safe.
 */
final class OutlierDetector {
  private static final int EJECTION_FAILURES = 3;
  private static final long MIN_EJECTION_MICROS = 1_000_000;
  private static final long MAX_EJECTION_MICROS = 16_000_000;
  private static final int MAX_DOUBLINGS = 8;

  /**
   * Maximum ratio of failing endpoints; if more fail, the cause lies elsewhere and none is ejected.
   */
  private static final double MAX_FAILING_RATIO = 0.5;

  private int consecutiveFailures;
  private int ejections;
  private long ejectedUntilMicros;

  /** Returns whether few enough endpoints fail for ejection to be useful. */
  static boolean mayEject(List<TrackedEndpoint> endpoints) {
    int failing = 0;
    for (int i = 0; i < endpoints.size(); i++) {
      failing += endpoints.get(i).outlierDetector().isFailing() ? 1 : 0;
    }
    return failing <= MAX_FAILING_RATIO * endpoints.size();
  }

  private boolean isFailing() {
    return consecutiveFailures >= EJECTION_FAILURES;
  }

  boolean isEjected(double inFlight, long nowMicros) {
    return isFailing() && (nowMicros < ejectedUntilMicros || inFlight > 0);
  }

  void recordSuccess() {
    consecutiveFailures = 0;
    ejections = 0;
  }

  void recordFailure(long nowMicros) {
    consecutiveFailures++;
    if (isFailing()) {
      long ejectionMicros = MIN_EJECTION_MICROS << Math.min(ejections++, MAX_DOUBLINGS);
      ejectedUntilMicros = nowMicros + Math.min(MAX_EJECTION_MICROS, ejectionMicros);
    }
  }

  /** Clears the failures after the endpoint has restarted. */
  void reset() {
    consecutiveFailures = 0;
  }
}
