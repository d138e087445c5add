package fawndock.policy.event;

/**
 * A streamed answer has begun: it is the request's answer, and nothing more is sent for it.
 *
 * @param requestId the request
 * @param attemptIndex the attempt that answers
 * @param endpointId where it was sent
 */
public record ResponseStarted(long requestId, int attemptIndex, String endpointId)
    implements PolicyEvent {}
