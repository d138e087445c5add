/**
 * Simulates a whole deployment in simulated time, on one thread and from one seed, with each
 * gateway's real policy and the real counter table. The package opens no socket, reads no clock and
 * starts no thread; docs/design/lab.md describes the model. The trace has the same events as that
 * of the fakes, and the same conformance check applies to it.
 */
package fawndock.simulation;
