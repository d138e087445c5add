package fawndock.loadgen;

/**
 * How long the clients of a flow wait for a response, and how they retry. Immutable.
 *
 * @param giveUpMicros time after which a client abandons an attempt; from 1
 * @param retry whether and when a client retries
 * @param retryWaitMicros wait before a retry with {@link Retry#AFTER}
 * @param maxAttempts most attempts of one request, from 1
 * @param honorsRetryAfter whether a client waits at least as long as {@code retry-after} says
 */
public record ClientBehavior(
    long giveUpMicros,
    Retry retry,
    long retryWaitMicros,
    int maxAttempts,
    boolean honorsRetryAfter) {
  /** Whether and when a client retries. */
  public enum Retry {
    NONE,
    AT_ONCE,
    AFTER
  }

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int FIRST_SERVER_ERROR = 500;

  /**
   * Returns the delay before the next attempt.
   *
   * @param status status of the response; 0 when there was none
   * @param retryAfterSeconds value of the response's {@code retry-after}; 0 without one
   * @param attemptCount attempts made so far, from 1
   * @return microseconds, or -1 when the client does not retry
   */
  public long retryDelayMicros(int status, long retryAfterSeconds, int attemptCount) {
    boolean isRetryable =
        status == 0 || status == TOO_MANY_REQUESTS || status >= FIRST_SERVER_ERROR;
    if (!isRetryable || retry == Retry.NONE || attemptCount >= maxAttempts) {
      return -1;
    }
    long delayMicros = retry == Retry.AFTER ? retryWaitMicros : 0;
    return honorsRetryAfter ? Math.max(delayMicros, retryAfterSeconds * 1_000_000) : delayMicros;
  }
}
