package fawndock.policy.action;

/**
 * Checks an endpoint's health; a {@link fawndock.policy.event.HealthCheckCompleted} is due. Not
 * emitted by {@code DefaultGatewayPolicy}.
 *
 * @param endpointId the endpoint, by its id in discovery
 */
public record StartHealthCheck(String endpointId) implements PolicyAction {}
