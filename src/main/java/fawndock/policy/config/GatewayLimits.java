package fawndock.policy.config;

/**
 * What the site lets a gateway instance do.
 *
 * @param maxAttempts attempts of a request, the first included; at least 1
 * @param maxInFlight requests that the instance may hold at once; enforced where requests are
 *     accepted, not by the policy
 * @param maxRetryAfterMicros longest retry-after that may be given, in microseconds; not used
 * @param allowsHedging whether a request may have several attempts in flight; not used
 * @param allowsCancellation whether attempts may be cancelled
 * @param allowsHealthChecks whether health checks may be sent; not used
 * @param allowsPeerMessages whether messages to peers may be sent; not used
 * @param allowsRetryAfter whether clients are told when to try again; not used
 */
public record GatewayLimits(
    int maxAttempts,
    int maxInFlight,
    long maxRetryAfterMicros,
    boolean allowsHedging,
    boolean allowsCancellation,
    boolean allowsHealthChecks,
    boolean allowsPeerMessages,
    boolean allowsRetryAfter) {}
