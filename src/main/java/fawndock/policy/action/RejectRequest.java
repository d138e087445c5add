package fawndock.policy.action;

/**
 * Final answer: the request was rejected, and trying again is harmless.
 *
 * @param requestId the request
 * @param retryAfterMicros when to try again, in microseconds from now; whole seconds, at least one
 */
public record RejectRequest(long requestId, long retryAfterMicros) implements PolicyAction {}
