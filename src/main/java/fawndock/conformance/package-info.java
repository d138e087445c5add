/**
 * Checks traces of requests against the five rules that every gateway must keep. A trace is what
 * crossed the sockets of a scenario's fakes, or the simulated network. Depends on none of the
 * packages that use it; it does no input or output and reads no clock.
 */
package fawndock.conformance;
