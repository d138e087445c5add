package fawndock.policy.event;

/**
 * One endpoint, as discovery lists it.
 *
 * @param id its id, which it keeps when it restarts
 * @param zone the zone that it is in
 * @param cell the cell of that zone
 * @param state whether it takes requests
 * @param weight its size beside the others, 1 for the usual one; not used
 * @param startedAtMicros when it started, in microseconds; 0 is long ago
 */
public record Endpoint(
    String id, String zone, int cell, EndpointState state, double weight, long startedAtMicros) {}
