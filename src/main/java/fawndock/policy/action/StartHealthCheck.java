package fawndock.policy.action;

/**
 * Checks the health of an endpoint; a {@link fawndock.policy.event.HealthCheckCompleted} follows.
 * Not emitted by {@code DefaultGatewayPolicy}.
 *
 * @param endpointId id of the endpoint in discovery
 */
public record StartHealthCheck(String endpointId) implements PolicyAction {}
