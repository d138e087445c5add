package fawndock.policy.event;

/**
 * A health check has completed.
 *
 * @param endpointId id of the endpoint
 * @param latencyMicros duration of the health check, in microseconds
 * @param result result of the health check
 * @param load load report of the endpoint
 */
public record HealthCheckCompleted(
    String endpointId, long latencyMicros, CallResult result, LoadReport load)
    implements PolicyEvent {}
