package fawndock.policy.event;

/** One server, as discovery lists it; {@code startedAtMicros} 0 is long ago. */
public record Endpoint(
    String id, String zone, int cell, EndpointState state, double weight, long startedAtMicros) {}
