package fawndock.policy.event;

import java.util.Map;

/** A probe ended. */
public record HealthCheckCompleted(
    String endpointId, long latencyMicros, CallResult result, Map<String, Double> load)
    implements PolicyEvent {}
