/**
 * Adapter for the external simulator: implements its line protocol on standard input and output and
 * runs the policies of the instances that it simulates. It loads no classes of the gateway daemon,
 * so that it starts fast.
 */
package fawndock.simulatoradapter;
