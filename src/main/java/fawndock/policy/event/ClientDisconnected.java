package fawndock.policy.event;

/** The client has left: no answer is owed any more. */
public record ClientDisconnected(long requestId) implements PolicyEvent {}
