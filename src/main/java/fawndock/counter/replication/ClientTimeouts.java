package fawndock.counter.replication;

/**
 * Timeouts and intervals of {@link ReplicaClient}.
 *
 * @param hedgeDelayMillis time without an answer after which a call is also sent to the next node
 * @param callTimeoutMillis time after which a call ends
 * @param nodeTimeoutMillis time without any answer after which a node is unhealthy
 * @param heartbeatIntervalMillis time between heartbeats to a node
 */
public record ClientTimeouts(
    long hedgeDelayMillis,
    long callTimeoutMillis,
    long nodeTimeoutMillis,
    long heartbeatIntervalMillis) {}
