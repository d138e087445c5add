package fawndock.policy.quota;

/**
 * Whether the counter is unreachable rather than slow: several failures in a row, and no sign of
 * life for several time-outs. Then no request waits for it, and all are admitted.
 */
final class CounterReachability {
  private static final int UNREACHABLE_FAILURES = 6;
  private static final int UNREACHABLE_TIMEOUTS = 3;

  private final long unreachableAfterMicros;
  private int consecutiveFailures;
  private long lastSignOfLifeMicros;

  /** A counter that has not answered yet, and whose calls take this time at the most. */
  CounterReachability(long timeoutMicros) {
    this.unreachableAfterMicros = UNREACHABLE_TIMEOUTS * timeoutMicros;
  }

  boolean isUnreachable(long nowMicros) {
    return consecutiveFailures >= UNREACHABLE_FAILURES
        && nowMicros - lastSignOfLifeMicros > unreachableAfterMicros;
  }

  /** For how long it must be silent to be unreachable. */
  long unreachableAfterMicros() {
    return unreachableAfterMicros;
  }

  long lastSignOfLifeMicros() {
    return lastSignOfLifeMicros;
  }

  void recordSignOfLife(long nowMicros) {
    consecutiveFailures = 0;
    lastSignOfLifeMicros = nowMicros;
  }

  /** Takes in a call without a sign of life; returns whether there were enough of them in a row. */
  boolean recordFailure() {
    return ++consecutiveFailures >= UNREACHABLE_FAILURES;
  }
}
