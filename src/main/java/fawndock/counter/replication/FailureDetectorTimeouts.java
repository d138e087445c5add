package fawndock.counter.replication;

/**
 * Timeouts of the failure detector. A peer is alive while its last heartbeat is at most {@code
 * peerTimeoutMillis} old; no other condition declares it dead.
 *
 * @param peerTimeoutMillis time without a heartbeat after which a peer counts as dead or
 *     partitioned
 * @param soloStartTimeoutMillis time after which a starting node that reaches no ready peer becomes
 *     ready without one; at least {@code peerTimeoutMillis}
 */
public record FailureDetectorTimeouts(long peerTimeoutMillis, long soloStartTimeoutMillis) {}
