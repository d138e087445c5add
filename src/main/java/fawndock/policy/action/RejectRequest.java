package fawndock.policy.action;

/** Final answer: turned away, and trying again is harmless. */
public record RejectRequest(long requestId, long retryAfterMicros) implements PolicyAction {}
