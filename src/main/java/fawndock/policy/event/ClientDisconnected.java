package fawndock.policy.event;

/**
 * The client of a request has disconnected, so that no response is needed any more.
 *
 * @param requestId id of the request
 */
public record ClientDisconnected(long requestId) implements PolicyEvent {}
