package fawndock.policy.action;

/**
 * A line for the operators' log.
 *
 * @param text the line
 */
public record LogMessage(String text) implements PolicyAction {}
