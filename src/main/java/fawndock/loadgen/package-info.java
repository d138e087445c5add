/**
 * The open-loop load generator. Arrivals do not wait for responses, and latencies count from the
 * intended start of each request. {@code RateShape}, {@code ArrivalProcess}, {@code
 * CustomerSelector}, {@code ClientBehavior} and {@code RequestTrace} compute the load without
 * network or clock; {@code LoadGenerator} sends it. The package does not depend on the gateway.
 */
package fawndock.loadgen;
