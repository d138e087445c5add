/**
 * Experiments: run a scenario in many variants and with many seeds, on all cores, and store the
 * results so that no run is repeated. {@code Experiment} and {@code ResultTable} do no I/O; {@code
 * ResultStore} and {@code RunList} write the result files, {@code BuildHash} reads class files, and
 * only {@code ExperimentRunner} starts threads.
 */
package fawndock.experiment;
