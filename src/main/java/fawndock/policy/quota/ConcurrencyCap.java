package fawndock.policy.quota;

/**
 * Enforces a limit on attempts in flight as a rate, by Little's law: the number of attempts that
 * may start within one mean attempt latency equals the limit, less about one standard deviation of
 * its random variation. This needs one counter call per request, and no in-flight count leaks when
 * an instance fails.
 */
final class ConcurrencyCap {
  private ConcurrencyCap() {}

  /** Returns how many attempts may have started by this point of the window. */
  static double maxStartedAttempts(
      double maxConcurrent, long windowMicros, double meanLatencyMicros, long nowMicros) {
    double meanConcurrency = maxConcurrent * (1 - 1 / Math.sqrt(maxConcurrent + 1));
    return Math.max(1, meanConcurrency) * Math.max(1, nowMicros % windowMicros / meanLatencyMicros);
  }
}
