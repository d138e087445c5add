package fawndock.policy.quota;

/**
 * A cap on attempts in flight, held as a rate (Little's law): as many may start in a mean attempt's
 * time as may be in flight, less their spread by chance. Costs one counter call per request, and no
 * in-flight count can leak when an instance dies.
 */
final class ConcurrencyLimit {
  private ConcurrencyLimit() {}

  /** How many attempts may have started by this point of the window. */
  static double maxStartedAttempts(
      double maxConcurrent, long windowMicros, double meanLatencyMicros, long nowMicros) {
    double meanConcurrency = maxConcurrent * (1 - 1 / Math.sqrt(maxConcurrent + 1));
    return Math.max(1, meanConcurrency) * Math.max(1, nowMicros % windowMicros / meanLatencyMicros);
  }
}
