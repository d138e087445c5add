/**
 * Replication of sums between counter nodes: a PN-counter with one entry for each origin (gateway
 * incarnation), merged by maximum; heartbeats, failure detection, membership, node readiness, the
 * estimate for unreachable origins, and the client that a gateway uses. This package performs no
 * I/O, reads no clock and starts no thread. Specification: docs/design/counter-replication.md.
 */
package fawndock.counter.replication;
