package fawndock.policy.event;

/** A timer of this gatekeeper's own is due. */
public record TimerFired(String token) implements PolicyEvent {}
