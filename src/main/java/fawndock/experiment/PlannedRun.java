package fawndock.experiment;

import fawndock.experiment.Experiment.Run;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.config.PolicyConfig;
import fawndock.settings.ConfigurationException;
import fawndock.simulation.DeploymentFile;
import fawndock.simulation.DeploymentFile.ParsedDeployment;
import fawndock.simulation.SimulationResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * A run of an experiment with the deployment that it simulates. The result depends on nothing but
 * the key: {@link BuildHash} takes the code from this class and the policy. Immutable.
 *
 * @param key hash of the settings, the seed and the build; equal keys mean the same run
 * @param build hash of the build
 */
record PlannedRun(String key, Run run, ParsedDeployment deployment, String build) {
  private static final double SERIES_DIGITS_FACTOR = 1e3;

  /**
   * Returns all runs of an experiment, in its order.
   *
   * @throws ConfigurationException when the scenario has errors
   */
  static List<PlannedRun> planAll(Experiment experiment, String build)
      throws ConfigurationException {
    Map<Map<String, String>, ParsedDeployment> deploymentByValues = new HashMap<>();
    for (Map<String, String> values : experiment.cells()) {
      deploymentByValues.put(values, DeploymentFile.read(experiment.scenario(), values));
    }
    List<PlannedRun> plannedRuns = new ArrayList<>();
    for (Run run : experiment.runs()) {
      ParsedDeployment deployment = deploymentByValues.get(run.values());
      String key = BuildHash.hash(deployment.effectiveSettings(), Long.toString(run.seed()), build);
      plannedRuns.add(new PlannedRun(key, run, deployment, build));
    }
    return plannedRuns;
  }

  /** Simulates the run. */
  RunResult execute(Function<PolicyConfig, GatewayPolicy> policyFactory) {
    SimulationResult result = deployment.withSeed(run.seed()).createSimulation(policyFactory).run();
    Map<String, double[]> series = new LinkedHashMap<>();
    result.series().forEach((name, values) -> series.put(name, round(values)));
    return new RunResult(
        key,
        run.values(),
        run.seed(),
        deployment.effectiveSettings(),
        build,
        result.figures(),
        series,
        deployment.faultWindows(),
        result.conformance().summaryLine());
  }

  private static double[] round(double[] values) {
    double[] rounded = new double[values.length];
    for (int i = 0; i < values.length; i++) {
      rounded[i] = Math.round(values[i] * SERIES_DIGITS_FACTOR) / SERIES_DIGITS_FACTOR;
    }
    return rounded;
  }
}
