package fawndock.policy.event;

/**
 * An attempt ended.
 *
 * @param requestId the request
 * @param attemptIndex the attempt, numbered from 0 in the order sent
 * @param endpointId where it was sent
 * @param latencyMicros how long it took, in microseconds
 * @param result how it ended
 * @param isFinal whether the request has had its final answer
 * @param settledUnits units that the request has used, 0 where the endpoint does not say
 * @param load the endpoint's load report
 */
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
