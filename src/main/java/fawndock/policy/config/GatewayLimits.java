package fawndock.policy.config;

/** What the site lets a gatekeeper do. */
public record GatewayLimits(
    int maxAttempts,
    int maxInFlight,
    long maxRetryAfterMicros,
    boolean allowsHedging,
    boolean allowsCancellation,
    boolean allowsHealthChecks,
    boolean allowsPeerMessages,
    boolean allowsRetryAfter) {}
