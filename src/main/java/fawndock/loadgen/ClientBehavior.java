package fawndock.loadgen;

/**
 * What a flow's clients do when they have waited or were refused.
 *
 * @param giveUpMicros after which a client leaves; from 1
 * @param retry whether and when it tries again
 * @param waitMicros before it tries again, when it waits
 * @param tries of one request at most, from 1
 * @param heedsRetryAfter whether it waits at least as long as the answer says
 */
public record ClientBehavior(
    long giveUpMicros, Retry retry, long waitMicros, int tries, boolean heedsRetryAfter) {
  /** Whether and when a client tries again. */
  public enum Retry {
    NONE,
    AT_ONCE,
    AFTER
  }

  private static final int TOO_MANY = 429;
  private static final int SERVER_ERROR = 500;

  /**
   * How long it waits until it tries again.
   *
   * @param status of the answer; 0 when there was none
   * @param retryAfterSeconds that the answer says; 0 for nothing
   * @param tried how often so far, from 1
   * @return microseconds, or -1 when it does not try again
   */
  public long retryDelayMicros(int status, long retryAfterSeconds, int tried) {
    boolean failed = status == 0 || status == TOO_MANY || status >= SERVER_ERROR;
    if (!failed || retry == Retry.NONE || tried >= tries) {
      return -1;
    }
    long wait = retry == Retry.AFTER ? waitMicros : 0;
    return heedsRetryAfter ? Math.max(wait, retryAfterSeconds * 1_000_000) : wait;
  }
}
