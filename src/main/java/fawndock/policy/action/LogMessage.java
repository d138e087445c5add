package fawndock.policy.action;

/**
 * A line for the operators' log. Not emitted by {@code DefaultGatewayPolicy}.
 *
 * @param text the line
 */
public record LogMessage(String text) implements PolicyAction {}
