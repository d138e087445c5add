package fawndock.policy.event;

/**
 * A health check ended.
 *
 * @param endpointId the endpoint
 * @param latencyMicros how long it took, in microseconds
 * @param result how it ended
 * @param load the endpoint's load report
 */
public record HealthCheckCompleted(
    String endpointId, long latencyMicros, CallResult result, LoadReport load)
    implements PolicyEvent {}
