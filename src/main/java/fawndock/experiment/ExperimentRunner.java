package fawndock.experiment;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.config.PolicyConfig;
import fawndock.settings.ConfigurationException;
import java.io.IOException;
import java.util.ArrayList;
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
 * Executes the runs of an experiment that have no stored result yet. Runs execute in parallel, each
 * on one thread; the object itself is used by a single thread.
 */
public final class ExperimentRunner {
  private final List<PlannedRun> plannedRuns;
  private final Function<PolicyConfig, GatewayPolicy> policyFactory;

  /**
   * Plans all runs.
   *
   * @param build hash of the build, a part of each run's key
   * @throws ConfigurationException when the scenario has errors
   */
  public ExperimentRunner(
      Experiment experiment, Function<PolicyConfig, GatewayPolicy> policyFactory, String build)
      throws ConfigurationException {
    this.plannedRuns = PlannedRun.planAll(experiment, build);
    this.policyFactory = policyFactory;
  }

  /** Returns the number of distinct runs without a stored result. */
  public int remainingRuns(ResultStore results) {
    return (int)
        plannedRuns.stream()
            .map(PlannedRun::key)
            .distinct()
            .filter(key -> !results.resultsByKey().containsKey(key))
            .count();
  }

  /**
   * Executes the runs that have no stored result and stores theirs.
   *
   * @param progress receives the number of completed runs after each of them
   * @return the results of all runs in the experiment's order
   */
  public List<RunResult> run(ResultStore results, int jobs, IntConsumer progress)
      throws IOException, InterruptedException {
    Map<String, PlannedRun> remaining = new LinkedHashMap<>();
    plannedRuns.stream()
        .filter(plannedRun -> !results.resultsByKey().containsKey(plannedRun.key()))
        .forEach(plannedRun -> remaining.putIfAbsent(plannedRun.key(), plannedRun));
    ExecutorService executor =
        Executors.newFixedThreadPool(
            jobs,
            task -> {
              Thread thread = new Thread(task, "run");
              thread.setDaemon(true);
              return thread;
            });
    try {
      ExecutorCompletionService<RunResult> completedRuns =
          new ExecutorCompletionService<>(executor);
      remaining
          .values()
          .forEach(plannedRun -> completedRuns.submit(() -> plannedRun.execute(policyFactory)));
      for (int i = 0; i < remaining.size(); i++) {
        results.add(completedRuns.take().get());
        progress.accept(i + 1);
      }
    } catch (ExecutionException e) {
      throw new IOException("a run failed: " + e.getCause(), e.getCause());
    } finally {
      executor.shutdownNow();
    }
    List<RunResult> orderedResults = new ArrayList<>();
    for (PlannedRun plannedRun : plannedRuns) {
      // Cells with equal settings share one run; each result gets its own values.
      RunResult result = results.resultsByKey().get(plannedRun.key());
      orderedResults.add(result.withValues(plannedRun.run().values()));
    }
    return orderedResults;
  }
}
