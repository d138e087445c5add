package fawndock.policy.event;

/** A streamed answer has begun: the attempt is the client's from now on. */
public record ResponseStarted(long requestId, int attemptIndex, String endpointId)
    implements PolicyEvent {}
