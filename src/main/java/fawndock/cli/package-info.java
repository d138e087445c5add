/**
 * The command line, with one class per command. A command reads its arguments, runs code of another
 * package and prints the results.
 */
package fawndock.cli;
