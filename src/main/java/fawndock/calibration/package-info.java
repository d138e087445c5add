/**
 * The emulator held against the real program: the same small deployment in simulated time and over
 * sockets, measured by the same code. It uses drills and emulator; neither knows it.
 */
package fawndock.calibration;
