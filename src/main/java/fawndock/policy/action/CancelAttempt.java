package fawndock.policy.action;

/**
 * Cancels an attempt in flight; its {@link fawndock.policy.event.AttemptCompleted} is still due.
 *
 * @param requestId the request
 * @param attemptIndex the attempt, numbered from 0 in the order sent
 */
public record CancelAttempt(long requestId, int attemptIndex) implements PolicyAction {}
