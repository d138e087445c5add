package fawndock.experiment;

import fawndock.simulation.DeploymentFile.FaultWindow;
import java.util.List;
import java.util.Map;

/**
 * What one run gave, with all that made it.
 *
 * @param key of the settings, the seed and the build: the same key is the same run
 * @param values of the experiment's variables
 * @param settings the deployment as it was run, line by line
 * @param build of the decisions and of the model, in short
 * @param series by name, a value for each second
 * @param marks when which fault was
 * @param verdict on the five rules
 */
public record RunResult(
    String key,
    Map<String, String> values,
    long seed,
    String settings,
    String build,
    Map<String, Double> figures,
    Map<String, double[]> series,
    List<FaultWindow> marks,
    String verdict) {}
