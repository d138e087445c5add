package fawndock.policy.event;

/** A message from a fellow gatekeeper. */
public record PeerMessageReceived(int fromInstance, String text) implements PolicyEvent {}
