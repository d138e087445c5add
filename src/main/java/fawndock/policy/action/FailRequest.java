package fawndock.policy.action;

/**
 * Sends the final response that the request failed and may have taken effect.
 *
 * @param requestId id of the request
 */
public record FailRequest(long requestId) implements PolicyAction {}
