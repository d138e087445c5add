/**
 * The JSON settings object that a gateway instance is started with, as the simulator and the
 * platform both write it. JSON in, the policy's configuration out; opens nothing.
 */
package fawndock.platformconfig;
