package fawndock.policy.action;

/** Asks discovery to report changes from now on. */
public record WatchEndpoints() implements PolicyAction {}
