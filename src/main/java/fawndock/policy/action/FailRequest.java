package fawndock.policy.action;

/**
 * Final answer: the request failed, and may have taken effect.
 *
 * @param requestId the request
 */
public record FailRequest(long requestId) implements PolicyAction {}
