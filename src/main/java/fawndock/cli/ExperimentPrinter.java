package fawndock.cli;

import fawndock.experiment.Experiment;
import fawndock.experiment.ResultTable;
import fawndock.experiment.ResultTable.Difference;
import fawndock.experiment.ResultTable.ExpectationResult;
import fawndock.experiment.ResultTable.SeedSpread;
import fawndock.experiment.RunResult;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Prints the results of an experiment as text, a line for each cell and each expectation. */
final class ExperimentPrinter {
  private static final int MAX_SHOWN_VIOLATIONS = 5;
  private final Experiment experiment;
  private final List<RunResult> results;
  private final Map<Map<String, String>, List<RunResult>> cells;
  private final PrintStream out;

  ExperimentPrinter(Experiment experiment, List<RunResult> results, PrintStream out) {
    this.experiment = experiment;
    this.results = results;
    this.cells = ResultTable.groupByValues(results);
    this.out = out;
  }

  /** Prints the spread of each shown figure over the seeds of each cell. */
  void printCells() {
    out.println("median (least..most) over the seeds, simulated:");
    cells.forEach(
        (values, runs) -> {
          StringBuilder line = new StringBuilder(values.isEmpty() ? "all" : format(values));
          for (String figure : experiment.shownFigures()) {
            appendFigure(line, figure, format(ResultTable.seedSpread(runs, figure)));
          }
          out.println(line);
        });
  }

  /** Prints the differences of all other cells from those of the baseline, if there is one. */
  void printDifferences() {
    if (experiment.baseline() == null) {
      return;
    }
    String name = experiment.baseline().name();
    String baseValue = experiment.baseline().values().get(0);
    out.printf(
        "difference from %s %s, mean over the same seeds [95%% interval]; * where it leaves out 0:%n",
        name, baseValue);
    cells.forEach(
        (values, runs) -> {
          Map<String, String> baseValues = new LinkedHashMap<>(values);
          baseValues.put(name, baseValue);
          List<RunResult> baseRuns = cells.get(baseValues);
          if (baseRuns != null && !values.get(name).equals(baseValue)) {
            printDifferences(values, baseRuns, runs);
          }
        });
  }

  private void printDifferences(
      Map<String, String> values, List<RunResult> baseRuns, List<RunResult> runs) {
    StringBuilder line = new StringBuilder(format(values));
    for (String figure : experiment.shownFigures()) {
      appendFigure(line, figure, format(ResultTable.difference(baseRuns, runs, figure)));
    }
    out.println(line);
  }

  /** Prints the evaluation of each expectation; returns whether all of them hold. */
  boolean printExpectations() {
    boolean isEveryExpectationMet = true;
    for (ExpectationResult evaluation : ResultTable.evaluate(experiment.expectations(), results)) {
      isEveryExpectationMet &= evaluation.isSatisfied();
      out.printf(
          "%s: %s; worst %.3f with %s seed %d; %d of %d runs break it%n",
          evaluation.isSatisfied() ? "holds" : "BROKEN",
          evaluation.expectation().text(),
          evaluation.worstValue(),
          evaluation.worstCell(),
          evaluation.worstSeed(),
          evaluation.violationCount(),
          evaluation.runCount());
    }
    return isEveryExpectationMet;
  }

  /** Prints the runs in which an invariant was violated; returns whether there is none. */
  boolean printViolations() {
    List<RunResult> violatingRuns = ResultTable.violatingRuns(results);
    violatingRuns.stream()
        .limit(MAX_SHOWN_VIOLATIONS)
        .forEach(run -> out.println(run.values() + " seed " + run.seed() + ": " + run.verdict()));
    out.printf("rules broken in %d of %d runs%n", violatingRuns.size(), results.size());
    return violatingRuns.isEmpty();
  }

  private static void appendFigure(StringBuilder line, String figure, String value) {
    line.append("  ").append(figure).append(' ').append(value);
  }

  private static String format(Map<String, String> values) {
    return values.toString().replaceAll("[{},]", "");
  }

  private static String format(SeedSpread spread) {
    return spread == null
        ? "-"
        : String.format("%.3f (%.3f..%.3f)", spread.median(), spread.min(), spread.max());
  }

  private static String format(Difference difference) {
    return difference == null
        ? "-"
        : String.format(
            "%+.3f [%+.3f, %+.3f]%s",
            difference.mean(),
            difference.low(),
            difference.high(),
            difference.isSignificant() ? "*" : "");
  }
}
