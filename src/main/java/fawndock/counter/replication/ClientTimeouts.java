package fawndock.counter.replication;

/**
 * A {@link ReplicaClient}'s times.
 *
 * @param hedgeDelayMillis without an answer after which a call is also sent to the next node
 * @param callTimeoutMillis after which a call has ended
 * @param nodeTimeoutMillis without any answer after which a node is unhealthy
 * @param heartbeatIntervalMillis between heartbeats to a node
 */
public record ClientTimeouts(
    long hedgeDelayMillis,
    long callTimeoutMillis,
    long nodeTimeoutMillis,
    long heartbeatIntervalMillis) {}
