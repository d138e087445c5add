package fawndock.policy.event;

/**
 * A message from another gateway instance has arrived.
 *
 * @param fromInstance index of that instance
 * @param text text of the message
 */
public record PeerMessageReceived(int fromInstance, String text) implements PolicyEvent {}
