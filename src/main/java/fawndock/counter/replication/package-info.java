/**
 * Replicated sums of several counter nodes: a PN-counter with one entry an origin (gateway
 * incarnation), merged by maximum; heartbeats, the failure detector, membership, when a node may
 * answer, the estimate for what is cut off, and the client that a gateway uses. No I/O, no clock,
 * no thread. Specification: docs/design/counter-replication.md.
 */
package fawndock.counter.replication;
