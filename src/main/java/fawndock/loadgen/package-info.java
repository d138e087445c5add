/**
 * The load generator: arrivals that wait for no answer, clients that behave as people describe
 * theirs, and what became of each request counted from when it was meant to start. {@code Shape},
 * {@code Arrivals}, {@code Customers}, {@code Manners} and {@code Trace} decide, free of I/O and
 * clock; {@code Generator} sends. It knows nothing of a gatekeeper.
 */
package fawndock.loadgen;
