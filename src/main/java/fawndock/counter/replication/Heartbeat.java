package fawndock.counter.replication;

import java.util.Map;

/**
 * What a node sends every other node at each tick.
 *
 * @param membershipVersion of the membership list that the sender uses
 * @param incarnation of the sender, a random number for each start
 * @param isReady whether the sender answers gateways
 * @param originStamps highest stamp of each origin that the sender saw alive lately
 */
public record Heartbeat(
    long membershipVersion, long incarnation, boolean isReady, Map<Long, Long> originStamps) {}
