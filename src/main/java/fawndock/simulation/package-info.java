/**
 * Runs a whole deployment in simulated time on one thread, from one seed, with each gateway's real
 * policy and the real counter table. Opens no socket, reads no clock and starts no thread; what is
 * modelled is in docs/design/lab.md. Its trace has the same events as that of the fakes and is
 * checked by the same invariants.
 */
package fawndock.simulation;
