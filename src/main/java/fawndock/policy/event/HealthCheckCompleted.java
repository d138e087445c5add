package fawndock.policy.event;

/** A probe ended. */
public record HealthCheckCompleted(
    String endpointId, long latencyMicros, CallResult result, LoadReport load)
    implements PolicyEvent {}
