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

/** {@code fawndock report DIR}: a page with plots of an experiment's results. */
@Command(
    name = "report",
    mixinStandardHelpOptions = true,
    description =
        "Writes DIR/report.html, one page with all plots inside, and each plot as DIR/plots/*.png.")
final class ReportCommand implements Callable<Integer> {
  @Parameters(paramLabel = "DIR", description = "results of 'fawndock experiment'")
  private Path folder;

  @Option(
      names = "--before",
      paramLabel = "DIR",
      description = "results that these are held against, seed by seed")
  private Path before;

  @Override
  public Integer call() throws IOException {
    System.setProperty("java.awt.headless", "true");
    List<RunResult> after = ResultStore.read(folder);
    List<RunResult> was = before == null ? List.of() : ResultStore.read(before);
    if (after.isEmpty() || (before != null && was.isEmpty())) {
      throw new IOException(
          (after.isEmpty() ? folder : before) + ": no run is done yet, expected at least one");
    }
    try {
      Experiment experiment =
          ExperimentFile.readWithoutScenario(folder.resolve(ResultStore.EXPERIMENT_FILE));
      System.out.println(
          new HtmlReport(
                  experiment, experiment.inRunOrder(after), experiment.inRunOrder(was), folder)
              .write());
      return 0;
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 2;
    }
  }
}
