package fawndock.policy.event;

/**
 * A message from another gateway instance.
 *
 * @param fromInstance that instance's index
 * @param text the message
 */
public record PeerMessageReceived(int fromInstance, String text) implements PolicyEvent {}
