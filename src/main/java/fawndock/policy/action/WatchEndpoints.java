package fawndock.policy.action;

/** Makes endpoint discovery report changes from now on. */
public record WatchEndpoints() implements PolicyAction {}
