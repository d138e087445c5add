package fawndock.policy.action;

/** Probes a server. */
public record StartHealthCheck(String endpointId) implements PolicyAction {}
