package fawndock.policy.event;

/**
 * A streamed response has started; it is the final response of the request, and nothing more is
 * sent for it.
 *
 * @param requestId id of the request
 * @param attemptIndex index of the attempt that responds
 * @param endpointId id of the endpoint that the attempt was sent to
 */
public record ResponseStarted(long requestId, int attemptIndex, String endpointId)
    implements PolicyEvent {}
