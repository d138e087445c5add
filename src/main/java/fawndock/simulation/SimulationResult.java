package fawndock.simulation;

import fawndock.conformance.ConformanceResult;
import java.util.Map;

/**
 * The result of one run.
 *
 * @param conformance the result of the conformance check
 * @param responsesByStatus 0 stands for clients that disconnected, -1 for lost connections
 * @param figures of the whole run, by name
 * @param series by name, a value for each second
 * @param eventCount number of scheduled events
 */
public record SimulationResult(
    ConformanceResult conformance,
    Map<Integer, Long> responsesByStatus,
    Map<String, Double> figures,
    Map<String, double[]> series,
    long eventCount) {}
