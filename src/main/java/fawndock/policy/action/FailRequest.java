package fawndock.policy.action;

/** Final answer: failed, with no promise about its effect. */
public record FailRequest(long requestId) implements PolicyAction {}
