package fawndock.counter.replication;

/**
 * When a node decides on silence. A peer is alive while its last heartbeat is at most {@code
 * peerTimeoutMillis} old; nothing else declares it dead.
 *
 * @param peerTimeoutMillis without a heartbeat after which a peer counts as dead or cut off
 * @param soloStartTimeoutMillis after which a starting node that reaches no ready peer becomes
 *     ready alone; at least {@code peerTimeoutMillis}
 */
public record FailureDetectorTimeouts(long peerTimeoutMillis, long soloStartTimeoutMillis) {}
