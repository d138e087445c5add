package fawndock.policy.action;

/**
 * Sends a message to other gateway instances. Not emitted by {@code DefaultGatewayPolicy}.
 *
 * @param toInstance index of one instance, or less than 0 for all instances
 * @param text text of the message
 */
public record SendPeerMessage(int toInstance, String text) implements PolicyAction {}
