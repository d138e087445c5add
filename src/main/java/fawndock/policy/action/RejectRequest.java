package fawndock.policy.action;

/**
 * Sends the final response that the request was rejected and may safely be retried.
 *
 * @param requestId id of the request
 * @param retryAfterMicros time from now after which to retry, in microseconds; whole seconds, at
 *     least one
 */
public record RejectRequest(long requestId, long retryAfterMicros) implements PolicyAction {}
