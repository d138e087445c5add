/**
 * The command line. Commands read their arguments, start what does the work and print what came of
 * it; the work itself is elsewhere.
 */
package fawndock.cli;
