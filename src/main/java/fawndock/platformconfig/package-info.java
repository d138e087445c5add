/**
 * The settings object that a gatekeeper is started with, and its words, as the simulator and the
 * platform both write them. Plain JSON in, the interface's types out; opens nothing.
 */
package fawndock.platformconfig;
