package fawndock.policy.event;

/**
 * An attempt has completed.
 *
 * @param requestId id of the request
 * @param attemptIndex index of the attempt, from 0 in the order in which attempts are sent
 * @param endpointId id of the endpoint that the attempt was sent to
 * @param latencyMicros duration of the attempt, in microseconds
 * @param result result of the attempt
 * @param isFinal whether the request has received its final response
 * @param settledUnits units that the request has used, 0 if the endpoint does not report them
 * @param load load report of the endpoint
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
