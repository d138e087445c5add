/**
 * Bounds on the memory that peers can make a process hold, shared by the gateways and the counter.
 * The package performs no I/O.
 */
package fawndock.memory;
