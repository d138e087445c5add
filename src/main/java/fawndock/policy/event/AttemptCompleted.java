package fawndock.policy.event;

import java.util.Map;

/** An attempt ended; {@code isFinal} says that the request has had its final answer. */
public record AttemptCompleted(
    long requestId,
    int attemptIndex,
    String endpointId,
    long latencyMicros,
    CallResult result,
    boolean isFinal,
    double settledUnits,
    Map<String, Double> load)
    implements PolicyEvent {}
