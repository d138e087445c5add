package fawndock.cli;

import fawndock.experiment.Experiment;
import fawndock.experiment.ExperimentFile;
import fawndock.experiment.ResultStore;
import fawndock.experiment.RunResult;
import fawndock.report.HtmlReport;
import fawndock.settings.ConfigurationException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code fawndock report DIR}: writes a page with plots of an experiment's results. */
@Command(
    name = "report",
    mixinStandardHelpOptions = true,
    description =
        "Writes DIR/report.html, one page with all plots embedded, and each plot as DIR/plots/*.png.")
final class ReportCommand implements Callable<Integer> {
  @Parameters(paramLabel = "DIR", description = "results directory of 'fawndock experiment'")
  private Path directory;

  @Option(
      names = "--before",
      paramLabel = "DIR",
      description = "results directory to compare with, seed by seed")
  private Path baselineDirectory;

  @Override
  public Integer call() throws IOException {
    System.setProperty("java.awt.headless", "true");
    List<RunResult> results = ResultStore.readLatestExperiment(directory);
    List<RunResult> baselineResults =
        baselineDirectory == null ? List.of() : ResultStore.readLatestExperiment(baselineDirectory);
    if (results.isEmpty() || (baselineDirectory != null && baselineResults.isEmpty())) {
      throw new IOException(
          (results.isEmpty() ? directory : baselineDirectory)
              + ": no finished run, expected at least one");
    }
    try {
      Experiment experiment =
          ExperimentFile.readWithoutScenario(directory.resolve(ResultStore.EXPERIMENT_FILE));
      System.out.println(
          new HtmlReport(
                  experiment,
                  experiment.inRunOrder(results),
                  experiment.inRunOrder(baselineResults),
                  directory)
              .write());
      return 0;
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 2;
    }
  }
}
