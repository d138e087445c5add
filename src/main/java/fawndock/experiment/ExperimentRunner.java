package fawndock.experiment;

import fawndock.experiment.Experiment.Run;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.config.PolicyConfig;
import fawndock.settings.ConfigurationException;
import fawndock.simulation.DeploymentFile;
import fawndock.simulation.SimulationResult;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Function;
import java.util.function.IntConsumer;

/**
 * Runs what an experiment asks for and its results do not have yet, on several threads; each run is
 * on one.
 */
public final class ExperimentRunner {
  private final List<PlannedRun> planned = new ArrayList<>();
  private final Function<PolicyConfig, GatewayPolicy> maker;
  private final String build;

  /**
   * Plans all runs.
   *
   * @param build that tells results of other decisions apart
   * @throws ConfigurationException when the scenario has errors
   */
  public ExperimentRunner(
      Experiment experiment, Function<PolicyConfig, GatewayPolicy> maker, String build)
      throws ConfigurationException {
    this.maker = maker;
    this.build = build;
    Map<Map<String, String>, DeploymentFile.ParsedDeployment> scenarios = new HashMap<>();
    for (Map<String, String> values : experiment.cells()) {
      scenarios.put(values, DeploymentFile.read(experiment.scenario(), values));
    }
    for (Run run : experiment.runs()) {
      DeploymentFile.ParsedDeployment read = scenarios.get(run.values());
      planned.add(
          new PlannedRun(
              BuildHash.hash(read.effectiveSettings(), Long.toString(run.seed()), build), run, read));
    }
  }

  private record PlannedRun(String key, Run run, DeploymentFile.ParsedDeployment read) {}

  /** How many runs are still to be done. */
  public int remainingRuns(ResultStore results) {
    return (int)
        planned.stream()
            .map(PlannedRun::key)
            .distinct()
            .filter(key -> !results.outcomes().containsKey(key))
            .count();
  }

  /**
   * Does what is left.
   *
   * @param progress told how many runs have been done
   * @return the outcomes of all runs, in the experiment's order, whichever ended first
   */
  public List<RunResult> run(ResultStore results, int jobs, IntConsumer progress)
      throws IOException, InterruptedException {
    Map<String, PlannedRun> left = new LinkedHashMap<>();
    planned.stream()
        .filter(p -> !results.outcomes().containsKey(p.key))
        .forEach(p -> left.putIfAbsent(p.key, p));
    ExecutorService pool =
        Executors.newFixedThreadPool(
            jobs,
            task -> {
              Thread thread = new Thread(task, "run");
              thread.setDaemon(true);
              return thread;
            });
    try {
      ExecutorCompletionService<RunResult> done = new ExecutorCompletionService<>(pool);
      left.values().forEach(p -> done.submit(() -> outcome(p)));
      for (int i = 0; i < left.size(); i++) {
        results.add(done.take().get());
        progress.accept(i + 1);
      }
    } catch (ExecutionException e) {
      throw new IOException("a run failed: " + e.getCause(), e.getCause());
    } finally {
      pool.shutdownNow();
    }
    List<RunResult> inOrder = new ArrayList<>();
    for (PlannedRun p :
        planned) { // A cell may be the same run as another: it has its own values all the same.
      RunResult o = results.outcomes().get(p.key);
      inOrder.add(
          new RunResult(
              o.key(),
              p.run.values(),
              o.seed(),
              o.settings(),
              o.build(),
              o.figures(),
              o.series(),
              o.marks(),
              o.verdict()));
    }
    return inOrder;
  }

  private RunResult outcome(PlannedRun p) {
    SimulationResult result = p.read.withSeed(p.run.seed()).createSimulation(maker).run();
    Map<String, double[]> series = new LinkedHashMap<>();
    result
        .series()
        .forEach(
            (name, values) -> {
              double[] short3 = new double[values.length];
              for (int i = 0; i < values.length; i++) {
                short3[i] = Math.round(values[i] * 1e3) / 1e3;
              }
              series.put(name, short3);
            });
    return new RunResult(
        p.key,
        p.run.values(),
        p.run.seed(),
        p.read.effectiveSettings(),
        build,
        result.figures(),
        series,
        p.read.faultWindows(),
        result.conformance().summaryLine());
  }
}
