package fawndock.simulation;

import fawndock.conformance.ConformanceResult;
import java.util.Map;

/**
 * What came of one run.
 *
 * @param conformance how often each of the five rules was broken
 * @param responsesByStatus 0 for clients that disconnected, -1 for connections that broke
 * @param figures of the whole run, by name
 * @param series by name, a value for each second
 * @param eventCount events that were scheduled
 */
public record SimulationResult(
    ConformanceResult conformance,
    Map<Integer, Long> responsesByStatus,
    Map<String, Double> figures,
    Map<String, double[]> series,
    long eventCount) {}
