/**
 * The counter service: the Redis serialization protocol in front of {@link
 * fawndock.counter.storage}, and the connections between the nodes of {@link
 * fawndock.counter.replication}. One event loop owns connections and counts; one thread writes the
 * write-ahead log and another the snapshots. Nothing here depends on the gateway, scenarios or
 * fakes. Specification: docs/design/counter.md.
 */
package fawndock.counter;
