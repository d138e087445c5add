package fawndock.policy.quota;

/**
 * Whether the counter is unreachable rather than slow: several failures in a row, and no reply for
 * several timeouts. Then no request waits for it, and requests are admitted, except beyond a hard
 * ceiling ({@link LocalTokenBucket}).
 */
final class CounterReachability {
  private static final int UNREACHABLE_FAILURES = 6;
  private static final int UNREACHABLE_TIMEOUTS = 3;

  private final long unreachableAfterMicros;
  private int consecutiveFailures;
  private long lastReplyAtMicros;

  /** A counter that has not answered yet, and whose calls take this time at the most. */
  CounterReachability(long timeoutMicros) {
    this.unreachableAfterMicros = UNREACHABLE_TIMEOUTS * timeoutMicros;
  }

  boolean isUnreachable(long nowMicros) {
    return consecutiveFailures >= UNREACHABLE_FAILURES
        && nowMicros - lastReplyAtMicros > unreachableAfterMicros;
  }

  /** For how long it must be silent to be unreachable. */
  long unreachableAfterMicros() {
    return unreachableAfterMicros;
  }

  long lastReplyAtMicros() {
    return lastReplyAtMicros;
  }

  void recordReply(long nowMicros) {
    consecutiveFailures = 0;
    lastReplyAtMicros = nowMicros;
  }

  /** Takes in a call without a reply; returns whether there were enough of them in a row. */
  boolean recordFailure() {
    return ++consecutiveFailures >= UNREACHABLE_FAILURES;
  }
}
