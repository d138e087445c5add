/**
 * Checks traces of requests against the five rules that every gateway must keep. A trace consists
 * of the events that crossed the sockets of a scenario's fakes or the simulated network. The
 * package depends on none of the packages that use it, performs no I/O and reads no clock.
 */
package fawndock.conformance;
