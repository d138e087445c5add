package fawndock.policy.event;

/**
 * The client has left: no answer is due any more.
 *
 * @param requestId the request
 */
public record ClientDisconnected(long requestId) implements PolicyEvent {}
