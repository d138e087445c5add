package fawndock.policy.event;

/**
 * A timer of this gateway instance is due.
 *
 * @param timer the timer as the policy set it
 */
public record TimerFired(PolicyTimer timer) implements PolicyEvent {}
