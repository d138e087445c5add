package fawndock.policy.quota;

/**
 * Counter calls beside the sampling rate: one while no other is in flight, after failures with a
 * backoff. An instance of a large fleet that has few requests would otherwise hear nothing of the
 * counter for minutes. A slow counter is called by each instance once in the longest backoff.
 */
final class CounterProbe {
  /** Calls that any counter takes, of the whole fleet. */
  private static final double MIN_FLEET_CALLS_PER_SECOND = 100;

  /** What a prompt reply leaves of the backoff; a failure divides by it. */
  private static final double BACKOFF_DECREASE_FACTOR = 0.5;

  private static final double PROBE_RATE_SMOOTHING_FACTOR = 0.2;

  private final double maxBackoffMicros;
  private final long minBackoffMicros;
  private long backoffMicros;
  private long lastCallAtMicros = Long.MIN_VALUE / 2;
  private long lastCallIntervalMicros;
  private double probeRate = 1;

  CounterProbe(int instanceCount, long minBackoffMicros) {
    this.maxBackoffMicros = 1e6 * instanceCount / MIN_FLEET_CALLS_PER_SECOND;
    this.minBackoffMicros = minBackoffMicros;
  }

  /**
   * The share of requests, of those that the sampling rate leaves out, that were probes of late.
   */
  double probeRate() {
    return probeRate;
  }

  /** Whether a request that the sampling rate leaves out is to call the counter. */
  boolean shouldProbe(boolean isCallInFlight, long nowMicros) {
    boolean shouldProbe = !isCallInFlight && nowMicros - lastCallAtMicros >= backoffMicros;
    probeRate += PROBE_RATE_SMOOTHING_FACTOR * ((shouldProbe ? 1 : 0) - probeRate);
    return shouldProbe;
  }

  void recordCall(long nowMicros) {
    lastCallIntervalMicros = Math.min(nowMicros - lastCallAtMicros, Long.MAX_VALUE / 4);
    lastCallAtMicros = nowMicros;
  }

  /** Takes in a failed or late call; one that was shed costs the counter nothing. */
  void recordFailure(boolean isShed) {
    double nextBackoffMicros =
        isShed
            ? backoffMicros
            : Math.max(backoffMicros, lastCallIntervalMicros) / BACKOFF_DECREASE_FACTOR;
    backoffMicros =
        (long) Math.min(maxBackoffMicros, Math.max(nextBackoffMicros, (double) minBackoffMicros));
  }

  void recordPromptReply(boolean isRampingUp) {
    backoffMicros = isRampingUp ? 0 : (long) (backoffMicros * BACKOFF_DECREASE_FACTOR);
  }
}
