package fawndock.policy.action;

/** Fetches the complete endpoint list from discovery once. */
public record FetchEndpoints() implements PolicyAction {}
