/**
 * Adapter to the external simulator: its line protocol on standard input and output, and the
 * policies of the instances that it simulates. Loads nothing of the daemon, so that it starts fast.
 */
package fawndock.simulatoradapter;
