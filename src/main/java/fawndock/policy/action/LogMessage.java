package fawndock.policy.action;

/** A line for the operators. */
public record LogMessage(String text) implements PolicyAction {}
