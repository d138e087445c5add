/**
 * The emulator: a whole deployment in simulated time on one thread, by one seed, with the real
 * decisions of each gatekeeper and the real table of counts. No socket, no clock, no thread of its
 * own; what it models is in docs/design/lab.md. It records the same events as the stand-ins do, and
 * the drills' judge judges them.
 */
package fawndock.simulation;
