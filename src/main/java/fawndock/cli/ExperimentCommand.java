package fawndock.cli;

import fawndock.experiment.BuildHash;
import fawndock.experiment.Experiment;
import fawndock.experiment.ExperimentFile;
import fawndock.experiment.ExperimentRunner;
import fawndock.experiment.ResultStore;
import fawndock.experiment.ResultTable;
import fawndock.experiment.RunList;
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
 * {@code fawndock experiment FILE}: runs a scenario in many variants and with many seeds, on all
 * cores.
 */
@Command(
    name = "experiment",
    mixinStandardHelpOptions = true,
    description =
        "Runs a scenario in all variants and with all seeds of a file; runs with a stored result are not repeated.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:every expectation holds",
      "1:an expectation does not hold or a rule was broken",
      "2:errors in the file"
    })
final class ExperimentCommand implements Callable<Integer> {
  @Parameters(
      paramLabel = "FILE",
      description = "the experiment file, see docs/operations/experiment.md")
  private Path file;

  @Option(
      names = "--out",
      paramLabel = "DIR",
      description = "directory of the results, default FILE.results")
  private Path out;

  @Option(
      names = "--jobs",
      paramLabel = "N",
      description = "number of concurrent runs, default the number of cores")
  private int jobs = Runtime.getRuntime().availableProcessors();

  @Option(names = "--quiet", description = "does not print the table of all cells")
  private boolean quiet;

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (jobs < 1 || jobs > 1_000) {
      System.err.println("--jobs must be from 1 to 1000");
      return 2;
    }
    Path directory = out != null ? out : file.resolveSibling(file.getFileName() + ".results");
    try (ResultStore results = ResultStore.open(directory)) {
      Experiment experiment = ExperimentFile.read(file);
      ExperimentRunner runner =
          new ExperimentRunner(
              experiment,
              DefaultGatewayPolicy::new,
              BuildHash.ofRunsWith(DefaultGatewayPolicy.class));
      int remaining = runner.remainingRuns(results);
      System.out.printf(
          "%s: %d runs, %d to be done, %d at once%n",
          experiment.title(), experiment.runs().size(), remaining, jobs);
      ProgressBar progressBar = new ProgressBar("runs", remaining, remaining + " runs", System.out);
      List<RunResult> all = runner.run(results, jobs, progressBar::update);
      progressBar.finish();
      ResultStore.writeCsv(directory.resolve("results.csv"), all);
      RunList.write(directory, all);
      Files.copy(
          file,
          directory.resolve(ResultStore.EXPERIMENT_FILE),
          java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      return printReport(experiment, all) ? 0 : 1;
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 2;
    }
  }

  private boolean printReport(Experiment experiment, List<RunResult> all) {
    Map<Map<String, String>, List<RunResult>> cells = ResultTable.groupByValues(all);
    if (!quiet) {
      System.out.println("median (least..most) over the seeds, simulated:");
      cells.forEach(
          (values, runs) -> {
            StringBuilder line =
                new StringBuilder(
                    values.isEmpty() ? "all" : values.toString().replaceAll("[{},]", ""));
            for (String figure : experiment.shownFigures()) {
              ResultTable.SeedSpread spread = ResultTable.seedSpread(runs, figure);
              line.append("  ")
                  .append(figure)
                  .append(' ')
                  .append(
                      spread == null
                          ? "-"
                          : String.format(
                              "%.3f (%.3f..%.3f)", spread.median(), spread.min(), spread.max()));
            }
            System.out.println(line);
          });
    }
    if (experiment.baseline() != null) {
      printDifferences(experiment, cells);
    }
    boolean isEveryExpectationMet = true;
    for (ResultTable.ExpectationResult expectation :
        ResultTable.evaluate(experiment.expectations(), all)) {
      isEveryExpectationMet &= expectation.isSatisfied();
      System.out.printf(
          "%s: %s; worst %.3f with %s seed %d; %d of %d runs break it%n",
          expectation.isSatisfied() ? "holds" : "BROKEN",
          expectation.expectation().text(),
          expectation.worstValue(),
          expectation.worstCell(),
          expectation.worstSeed(),
          expectation.violationCount(),
          expectation.runCount());
    }
    List<RunResult> runsBreakingRules =
        all.stream().filter(run -> run.figures().getOrDefault("rules-broken", 0.0) > 0).toList();
    runsBreakingRules.stream()
        .limit(5)
        .forEach(
            run -> System.out.println(run.values() + " seed " + run.seed() + ": " + run.verdict()));
    System.out.printf("rules broken in %d of %d runs%n", runsBreakingRules.size(), all.size());
    return isEveryExpectationMet && runsBreakingRules.isEmpty();
  }

  private static void printDifferences(
      Experiment experiment, Map<Map<String, String>, List<RunResult>> cells) {
    String name = experiment.baseline().name();
    String base = experiment.baseline().values().get(0);
    System.out.printf(
        "difference from %s %s, mean over the same seeds [95%% interval]; * where it leaves out 0:%n",
        name, base);
    cells.forEach(
        (values, runs) -> {
          Map<String, String> baseValues = new LinkedHashMap<>(values);
          baseValues.put(name, base);
          if (values.get(name).equals(base) || !cells.containsKey(baseValues)) {
            return;
          }
          StringBuilder line = new StringBuilder(values.toString().replaceAll("[{},]", ""));
          for (String figure : experiment.shownFigures()) {
            ResultTable.Difference difference =
                ResultTable.difference(cells.get(baseValues), runs, figure);
            line.append("  ")
                .append(figure)
                .append(' ')
                .append(
                    difference == null
                        ? "-"
                        : String.format(
                            "%+.3f [%+.3f, %+.3f]%s",
                            difference.mean(),
                            difference.low(),
                            difference.high(),
                            difference.isSignificant() ? "*" : ""));
          }
          System.out.println(line);
        });
  }
}
