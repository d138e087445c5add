package fawndock.policy.action;

/**
 * Cancels an attempt in flight; its {@link fawndock.policy.event.AttemptCompleted} still follows.
 *
 * @param requestId id of the request
 * @param attemptIndex index of the attempt, from 0 in the order in which attempts are sent
 */
public record CancelAttempt(long requestId, int attemptIndex) implements PolicyAction {}
