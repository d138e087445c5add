/**
 * Reads the JSON settings object that a gateway instance is started with into the policy's
 * configuration. The simulator and the platform both write this object. Performs no I/O.
 */
package fawndock.platformconfig;
