package fawndock.policy.event;

/** An attempt ended; {@code isFinal} says that the request has had its final answer. */
public record AttemptCompleted(
    long requestId,
    int attemptIndex,
    String endpointId,
    long latencyMicros,
    CallResult result,
    boolean isFinal,
    double settledUnits,
    LoadReport load)
    implements PolicyEvent {}
