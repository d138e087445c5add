package fawndock.policy.quota;

/**
 * Selects probes: counter calls for requests that sampling leaves out, made while no other call is
 * in flight and with exponential backoff after failures. Without them, an instance with few
 * requests in a large fleet would get no counter reply for minutes. Each instance still calls a
 * slow counter once per maximum backoff.
 */
final class CounterProbe {
  /** Calls per second, summed over the fleet, that every counter service can handle. */
  private static final double MIN_FLEET_CALLS_PER_SECOND = 100;

  /** A prompt reply multiplies the backoff by this factor; a failure divides it. */
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

  /** Returns the recent share of probes among the requests that sampling leaves out. */
  double probeRate() {
    return probeRate;
  }

  /** Returns whether a request that sampling leaves out calls the counter as a probe. */
  boolean shouldProbe(boolean isCallInFlight, long nowMicros) {
    boolean shouldProbe = !isCallInFlight && nowMicros - lastCallAtMicros >= backoffMicros;
    probeRate += PROBE_RATE_SMOOTHING_FACTOR * ((shouldProbe ? 1 : 0) - probeRate);
    return shouldProbe;
  }

  void recordCall(long nowMicros) {
    lastCallIntervalMicros = Math.min(nowMicros - lastCallAtMicros, Long.MAX_VALUE / 4);
    lastCallAtMicros = nowMicros;
  }

  /**
   * Records a failed or late call. A shed call does not increase the backoff, since it costs the
   * counter nothing.
   */
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
