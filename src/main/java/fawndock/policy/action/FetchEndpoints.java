package fawndock.policy.action;

/** Asks discovery once for the complete list. */
public record FetchEndpoints() implements PolicyAction {}
