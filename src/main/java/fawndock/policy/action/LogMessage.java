package fawndock.policy.action;

/**
 * Writes a line to the operators' log. Not emitted by {@code DefaultGatewayPolicy}.
 *
 * @param text text of the line
 */
public record LogMessage(String text) implements PolicyAction {}
