/**
 * Reports of experiments: plots and tables of one set of results, or of two beside each other, in
 * one HTML page that needs nothing else. What is plotted against what is decided in {@code
 * PlotSelection}, free of I/O; drawing is XChart's.
 */
package fawndock.report;
