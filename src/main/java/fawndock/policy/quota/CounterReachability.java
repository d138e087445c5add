package fawndock.policy.quota;

/**
 * Distinguishes an unreachable counter from a slow one: several consecutive calls have failed and
 * no reply has arrived for several timeouts. While the counter is unreachable, no request waits for
 * it, and all requests are admitted except those over a ceiling ({@link LocalTokenBucket}).
 */
final class CounterReachability {
  private static final int UNREACHABLE_FAILURES = 6;
  private static final int UNREACHABLE_TIMEOUTS = 3;

  private final long unreachableAfterMicros;
  private int consecutiveFailures;
  private long lastReplyAtMicros;

  /** Starts without any reply; {@code timeoutMicros} is the longest time that a call may take. */
  CounterReachability(long timeoutMicros) {
    this.unreachableAfterMicros = UNREACHABLE_TIMEOUTS * timeoutMicros;
  }

  boolean isUnreachable(long nowMicros) {
    return consecutiveFailures >= UNREACHABLE_FAILURES
        && nowMicros - lastReplyAtMicros > unreachableAfterMicros;
  }

  /** Returns how long the counter must not reply before it counts as unreachable. */
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

  /** Records a call without a reply; returns whether enough consecutive calls have failed. */
  boolean recordFailure() {
    return ++consecutiveFailures >= UNREACHABLE_FAILURES;
  }
}
