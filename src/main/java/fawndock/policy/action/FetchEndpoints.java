package fawndock.policy.action;

/**
 * Fetches the complete endpoint list from discovery once. Not emitted by {@code
 * DefaultGatewayPolicy}.
 */
public record FetchEndpoints() implements PolicyAction {}
