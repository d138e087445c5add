package fawndock.policy.event;

/**
 * A timer of this gateway instance is due.
 *
 * @param timer the timer as the policy scheduled it
 */
public record TimerFired(PolicyTimer timer) implements PolicyEvent {}
