package fawndock.policy.action;

/** Calls one attempt off. */
public record CancelAttempt(long requestId, int attemptIndex) implements PolicyAction {}
