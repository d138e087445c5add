package fawndock.policy.action;

/** Has endpoint discovery report changes from now on. */
public record WatchEndpoints() implements PolicyAction {}
