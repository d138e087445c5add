/**
 * Computes figures and series per second from a trace. The same code measures simulated runs and
 * runs over sockets, so that their figures can be compared. Does no I/O and reads no clock.
 */
package fawndock.measurement;
