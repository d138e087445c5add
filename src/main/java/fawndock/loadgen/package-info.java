/**
 * The load generator: arrivals that wait for no answer, clients that behave as people describe
 * theirs, and what became of each request counted from when it was meant to start. {@code
 * RateShape}, {@code ArrivalProcess}, {@code CustomerSelector}, {@code ClientBehavior} and {@code
 * RequestTrace} decide, free of I/O and clock; {@code LoadGenerator} sends. It knows nothing of a
 * gateway.
 */
package fawndock.loadgen;
