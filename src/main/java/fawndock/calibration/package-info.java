/**
 * Calibration of the simulation against the real program: runs the same small deployment in
 * simulated time and over sockets and compares the figures, which the same code measures. The
 * package depends on the scenarios and on the simulation; neither depends on it.
 */
package fawndock.calibration;
