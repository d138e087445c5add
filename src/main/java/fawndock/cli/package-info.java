/**
 * The command line, one class a command. Commands read their arguments, start what does the work
 * and print its results; the work itself is elsewhere.
 */
package fawndock.cli;
