/**
 * Measurements: what the gateway adds to a bare proxy, with arrivals that do not wait for answers.
 * Not part of the tests; figures are ratios of one run, taken in turns.
 */
package fawndock.benchmark;
