/**
 * Reports of experiments: tables and plots of one set of results, or of two sets compared with each
 * other, in one self-contained HTML page. {@code PlotSelection} selects the data without I/O;
 * XChart renders the plots.
 */
package fawndock.report;
