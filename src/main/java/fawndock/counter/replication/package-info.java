/**
 * Several counter nodes that stand in for each other, as far as it is decided: sums of gatekeepers
 * merged by maximum, the estimate of what cannot be heard, when a node may answer, and which node a
 * gatekeeper asks. No I/O, no clock, no thread.
 */
package fawndock.counter.replication;
