/**
 * Benchmarks of the gateway against a bare proxy, with open-loop arrivals, and of the counter. They
 * are not part of the tests; results are ratios of alternating turns within one run.
 */
package fawndock.benchmark;
