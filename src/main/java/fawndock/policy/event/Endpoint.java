package fawndock.policy.event;

/**
 * An endpoint as discovery lists it.
 *
 * @param id id of the endpoint, which it keeps when it restarts
 * @param zone zone of the endpoint
 * @param cell cell within the zone
 * @param state whether the endpoint takes requests
 * @param weight size relative to the other endpoints; 1 is the usual value; not used
 * @param startedAtMicros when the endpoint started, in microseconds; 0 means long ago
 */
public record Endpoint(
    String id, String zone, int cell, EndpointState state, double weight, long startedAtMicros) {}
