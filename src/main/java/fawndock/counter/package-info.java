/**
 * The counter server: it serves the counters of {@link fawndock.counter.storage} over the Redis
 * serialization protocol, and connects the nodes of {@link fawndock.counter.replication}. One event
 * loop owns the connections and the counters; one thread writes the write-ahead log and another the
 * snapshots. The package does not depend on the gateway, scenarios or fakes. Specification:
 * docs/design/counter.md.
 */
package fawndock.counter;
