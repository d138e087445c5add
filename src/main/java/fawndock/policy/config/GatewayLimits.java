package fawndock.policy.config;

/**
 * What the site allows a gateway instance to do.
 *
 * @param maxAttempts maximum number of attempts of a request, including the first; at least 1
 * @param maxInFlight maximum number of requests that the instance holds at once; enforced where
 *     requests are accepted, not by the policy
 * @param maxRetryAfterMicros maximum retry-after, in microseconds; not used
 * @param allowsHedging whether a request may have several attempts in flight; not used
 * @param allowsCancellation whether attempts may be cancelled
 * @param allowsHealthChecks whether health checks may be sent; not used
 * @param allowsPeerMessages whether messages may be sent to peers; not used
 * @param allowsRetryAfter whether clients are told when to retry; not used
 * @param maxQuotaBytes memory for the quotas of customers, in bytes; beyond it, those used least
 *     recently are evicted
 */
public record GatewayLimits(
    int maxAttempts,
    int maxInFlight,
    long maxRetryAfterMicros,
    boolean allowsHedging,
    boolean allowsCancellation,
    boolean allowsHealthChecks,
    boolean allowsPeerMessages,
    boolean allowsRetryAfter,
    long maxQuotaBytes) {
  /** Memory for quotas where the memory of the process is not known. */
  public static final long DEFAULT_MAX_QUOTA_BYTES = 16 << 20;

  /** Creates limits with {@link #DEFAULT_MAX_QUOTA_BYTES}. */
  public GatewayLimits(
      int maxAttempts,
      int maxInFlight,
      long maxRetryAfterMicros,
      boolean allowsHedging,
      boolean allowsCancellation,
      boolean allowsHealthChecks,
      boolean allowsPeerMessages,
      boolean allowsRetryAfter) {
    this(
        maxAttempts,
        maxInFlight,
        maxRetryAfterMicros,
        allowsHedging,
        allowsCancellation,
        allowsHealthChecks,
        allowsPeerMessages,
        allowsRetryAfter,
        DEFAULT_MAX_QUOTA_BYTES);
  }

  /** Returns the same limits with another memory for quotas, in bytes. */
  public GatewayLimits withMaxQuotaBytes(long bytes) {
    return new GatewayLimits(
        maxAttempts,
        maxInFlight,
        maxRetryAfterMicros,
        allowsHedging,
        allowsCancellation,
        allowsHealthChecks,
        allowsPeerMessages,
        allowsRetryAfter,
        bytes);
  }
}
