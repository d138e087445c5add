package fawndock.cli;

import fawndock.experiment.BuildHash;
import fawndock.experiment.Experiment;
import fawndock.experiment.ExperimentFile;
import fawndock.experiment.ExperimentRunner;
import fawndock.experiment.ResultStore;
import fawndock.experiment.ResultTable;
import fawndock.experiment.RunResult;
import fawndock.policy.DefaultGatewayPolicy;
import fawndock.settings.ConfigurationException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * {@code fawndock experiment FILE}: a scenario in many variants and with many seeds, on all cores.
 */
@Command(
    name = "experiment",
    mixinStandardHelpOptions = true,
    description =
        "Runs a scenario in all variants and with all seeds that a file names; what is done is not done again.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:all that is expected holds",
      "1:something expected does not hold",
      "2:mistakes in the file"
    })
final class ExperimentCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "the experiment; docs/operations/experiment.md")
  private Path file;

  @Option(
      names = "--out",
      paramLabel = "DIR",
      description = "where results go; FILE.results when not given")
  private Path out;

  @Option(
      names = "--jobs",
      paramLabel = "N",
      description = "runs at once; as many as the machine has cores")
  private int jobs = Runtime.getRuntime().availableProcessors();

  @Option(names = "--quiet", description = "no table of all cells")
  private boolean quiet;

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (jobs < 1 || jobs > 1_000) {
      System.err.println("--jobs is from 1 to 1000");
      return 2;
    }
    Path folder = out != null ? out : file.resolveSibling(file.getFileName() + ".results");
    try (ResultStore results = ResultStore.open(folder)) {
      Experiment experiment = ExperimentFile.read(file);
      ExperimentRunner runner =
          new ExperimentRunner(experiment, DefaultGatewayPolicy::new, BuildHash.ofRunningClasses());
      int left = runner.remainingRuns(results);
      System.out.printf(
          "%s: %d runs, %d to be done, %d at once%n",
          experiment.title(), experiment.runs().size(), left, jobs);
      ProgressBar bar = new ProgressBar("runs", left, left + " runs", System.out);
      List<RunResult> all = runner.run(results, jobs, bar::update);
      bar.finish();
      ResultStore.writeCsv(folder.resolve("results.csv"), all);
      Files.copy(
          file,
          folder.resolve(ResultStore.EXPERIMENT_FILE),
          java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      return told(experiment, all) ? 0 : 1;
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 2;
    }
  }

  private boolean told(Experiment experiment, List<RunResult> all) {
    Map<Map<String, String>, List<RunResult>> cells = ResultTable.groupByValues(all);
    if (!quiet) {
      System.out.println("median (least..most) over the seeds, simulated:");
      cells.forEach(
          (values, outcomes) -> {
            StringBuilder line =
                new StringBuilder(
                    values.isEmpty() ? "all" : values.toString().replaceAll("[{},]", ""));
            for (String figure : experiment.shownFigures()) {
              ResultTable.SeedSpread s = ResultTable.seedSpread(outcomes, figure);
              line.append("  ")
                  .append(figure)
                  .append(' ')
                  .append(
                      s == null
                          ? "-"
                          : String.format("%.3f (%.3f..%.3f)", s.median(), s.min(), s.max()));
            }
            System.out.println(line);
          });
    }
    if (experiment.baseline() != null) {
      differences(experiment, cells);
    }
    boolean kept = true;
    for (ResultTable.ExpectationResult each :
        ResultTable.evaluate(experiment.expectations(), all)) {
      kept &= each.isSatisfied();
      System.out.printf(
          "%s: %s; worst %.3f with %s seed %d; %d of %d runs break it%n",
          each.isSatisfied() ? "holds" : "BROKEN",
          each.expectation().text(),
          each.worstValue(),
          each.worstCell(),
          each.worstSeed(),
          each.violationCount(),
          each.runCount());
    }
    List<RunResult> bad =
        all.stream().filter(o -> o.figures().getOrDefault("rules-broken", 0.0) > 0).toList();
    bad.stream()
        .limit(5)
        .forEach(o -> System.out.println(o.values() + " seed " + o.seed() + ": " + o.verdict()));
    System.out.printf("rules broken in %d of %d runs%n", bad.size(), all.size());
    return kept && bad.isEmpty();
  }

  private static void differences(
      Experiment experiment, Map<Map<String, String>, List<RunResult>> cells) {
    String name = experiment.baseline().name();
    String base = experiment.baseline().values().get(0);
    System.out.printf(
        "difference from %s %s, mean over the same seeds [95%% interval]; * where it leaves out 0:%n",
        name, base);
    cells.forEach(
        (values, outcomes) -> {
          Map<String, String> with = new LinkedHashMap<>(values);
          with.put(name, base);
          if (values.get(name).equals(base) || !cells.containsKey(with)) {
            return;
          }
          StringBuilder line = new StringBuilder(values.toString().replaceAll("[{},]", ""));
          for (String figure : experiment.shownFigures()) {
            ResultTable.Difference d = ResultTable.difference(cells.get(with), outcomes, figure);
            line.append("  ")
                .append(figure)
                .append(' ')
                .append(
                    d == null
                        ? "-"
                        : String.format(
                            "%+.3f [%+.3f, %+.3f]%s",
                            d.mean(), d.low(), d.high(), d.isSignificant() ? "*" : ""));
          }
          System.out.println(line);
        });
  }
}
