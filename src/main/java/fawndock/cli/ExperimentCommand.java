package fawndock.cli;

import fawndock.experiment.BuildHash;
import fawndock.experiment.Experiment;
import fawndock.experiment.ExperimentFile;
import fawndock.experiment.ExperimentRunner;
import fawndock.experiment.ResultStore;
import fawndock.experiment.RunList;
import fawndock.experiment.RunResult;
import fawndock.policy.DefaultGatewayPolicy;
import fawndock.settings.ConfigurationException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
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
          StandardCopyOption.REPLACE_EXISTING);
      return printReport(experiment, all) ? 0 : 1;
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 2;
    }
  }

  private boolean printReport(Experiment experiment, List<RunResult> results) {
    ExperimentPrinter printer = new ExperimentPrinter(experiment, results, System.out);
    if (!quiet) {
      printer.printCells();
    }
    printer.printDifferences();
    boolean isEveryExpectationMet = printer.printExpectations();
    boolean isFreeOfViolations = printer.printViolations();
    return isEveryExpectationMet && isFreeOfViolations;
  }
}
