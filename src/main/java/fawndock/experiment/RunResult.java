package fawndock.experiment;

import fawndock.simulation.DeploymentFile.FaultWindow;
import java.util.List;
import java.util.Map;

/**
 * The result of one run and its inputs. The component names are the property names in the results
 * file.
 *
 * @param key hash of the settings, the seed and the build; equal keys mean the same run
 * @param values of the experiment's variables
 * @param settings effective lines of the deployment file
 * @param build hash of the build, as {@link BuildHash} computes it
 * @param series by name, a value for each second
 * @param marks time windows of the faults
 * @param verdict summary line of the conformance check
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
    String verdict) {
  /** Returns the same result for a run of other values with equal settings. */
  RunResult withValues(Map<String, String> otherValues) {
    return new RunResult(key, otherValues, seed, settings, build, figures, series, marks, verdict);
  }
}
