package fawndock.counter.replication;

import java.util.Map;

/**
 * Heartbeat that a node sends to every peer at each tick.
 *
 * @param membershipVersion version of the membership list that the sender uses
 * @param incarnation random number that the sender chooses at each start
 * @param isReady whether the sender answers gateways
 * @param originStamps highest stamp of each origin that the sender recently saw alive
 */
public record Heartbeat(
    long membershipVersion, long incarnation, boolean isReady, Map<Long, Long> originStamps) {}
