/**
 * Experiments: a scenario run in many variants and with many seeds, on all cores, its results kept
 * so that a run is never done twice. What is to run, how results are put together and what is
 * expected of them are pure ({@code Experiment}, {@code ResultStatistics}); only {@code ResultStore}
 * opens files and only {@code ExperimentRunner} starts threads.
 */
package fawndock.experiment;
