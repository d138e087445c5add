package fawndock.report;

import fawndock.experiment.ResultTable;
import fawndock.experiment.RunResult;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Selects the data of plots: medians of figures by the values of a variable, split into several
 * plots where one would have too many lines, and time series of single runs. Does no I/O.
 */
public final class PlotSelection {
  /** More lines in one plot are hard to tell apart. */
  static final int MAX_LINES = 8;

  /** A line of a plot: its name, and a value for each x value, NaN where there is none. */
  @SuppressWarnings("ArrayRecordComponent") // The chart library takes arrays; never compared.
  public record Series(String name, double[] values) {}

  /**
   * One plot.
   *
   * @param isTimeSeries whether the x values are the seconds of a run; otherwise they are the
   *     values of a variable
   * @param xValues labels of the points on the x-axis
   */
  public record Plot(
      String title,
      boolean isTimeSeries,
      String xLabel,
      String yLabel,
      List<String> xValues,
      List<Series> series) {}

  private PlotSelection() {}

  /** Returns the variables that have at least two values, with their values. */
  static Map<String, Set<String>> varyingVariables(List<RunResult> results) {
    Map<String, Set<String>> varyingVariables = new LinkedHashMap<>();
    results.forEach(
        result ->
            result
                .values()
                .forEach(
                    (name, value) ->
                        varyingVariables
                            .computeIfAbsent(name, key -> new LinkedHashSet<>())
                            .add(value)));
    varyingVariables.values().removeIf(values -> values.size() < 2);
    return varyingVariables;
  }

  /** Returns a label that names the values of some variables. */
  static String label(Map<String, String> values, Set<String> variables) {
    List<String> parts = new ArrayList<>();
    values.forEach(
        (name, value) -> {
          if (variables.contains(name)) {
            parts.add(name + " " + value);
          }
        });
    return parts.isEmpty() ? "all" : String.join(", ", parts);
  }

  /**
   * Returns plots of a figure's medians by the values of a variable. Each combination of the other
   * variables that vary is a line; when one plot would have more than {@value #MAX_LINES} lines,
   * the first of these variables are split over several plots. A combination without the figure has
   * no line.
   *
   * @param axis the variable on the x-axis
   * @param resultsByName sets of results to compare, by name; the name of a single set is empty
   */
  public static List<Plot> byVariable(
      String axis, String figure, Map<String, List<RunResult>> resultsByName) {
    List<RunResult> allResults = new ArrayList<>();
    resultsByName.values().forEach(allResults::addAll);
    Map<String, Set<String>> varyingVariables = varyingVariables(allResults);
    Set<String> xValues = varyingVariables.getOrDefault(axis, Set.of());
    if (xValues.isEmpty()) {
      return List.of();
    }
    List<String> otherVariables = new ArrayList<>(varyingVariables.keySet());
    otherVariables.remove(axis);
    int lineCount = resultsByName.size();
    int firstLineVariable = otherVariables.size();
    while (firstLineVariable > 0
        && lineCount * varyingVariables.get(otherVariables.get(firstLineVariable - 1)).size()
            <= MAX_LINES) {
      lineCount *= varyingVariables.get(otherVariables.get(--firstLineVariable)).size();
    }
    Set<String> plotVariables = new LinkedHashSet<>(otherVariables.subList(0, firstLineVariable));
    Set<String> lineVariables =
        new LinkedHashSet<>(otherVariables.subList(firstLineVariable, otherVariables.size()));
    List<String> xAxisValues = new ArrayList<>(xValues);
    if (xAxisValues.stream().allMatch(value -> value.matches("-?[0-9]+(\\.[0-9]+)?"))) {
      xAxisValues.sort(Comparator.comparingDouble(Double::parseDouble));
    }
    Map<String, Map<String, double[]>> plots = new LinkedHashMap<>();
    resultsByName.forEach(
        (resultsName, results) ->
            ResultTable.groupByValues(results)
                .forEach(
                    (values, cell) -> {
                      ResultTable.SeedSpread spread = ResultTable.seedSpread(cell, figure);
                      if (spread == null) {
                        return;
                      }
                      String line =
                          (label(values, lineVariables)
                                  + (resultsName.isEmpty() ? "" : ", " + resultsName))
                              .replaceFirst("^all, ", "");
                      double[] lineValues =
                          plots
                              .computeIfAbsent(
                                  label(values, plotVariables), key -> new LinkedHashMap<>())
                              .computeIfAbsent(
                                  line,
                                  key -> {
                                    double[] missing = new double[xAxisValues.size()];
                                    Arrays.fill(missing, Double.NaN);
                                    return missing;
                                  });
                      lineValues[xAxisValues.indexOf(values.get(axis))] = spread.median();
                    }));
    List<Plot> result = new ArrayList<>();
    plots.forEach(
        (name, valuesByLine) -> {
          List<Series> series = new ArrayList<>();
          valuesByLine.forEach((line, values) -> series.add(new Series(line, values)));
          result.add(
              new Plot(
                  figure + (name.equals("all") ? "" : " (" + name + ")"),
                  false,
                  axis,
                  figure,
                  xAxisValues,
                  series));
        });
    return result;
  }

  /** Returns a plot of some series of one run, with a point for each second. */
  public static Plot timeSeries(RunResult run, String title, String yLabel, List<String> names) {
    List<Series> series = new ArrayList<>();
    int length = 0;
    for (String name : names) {
      double[] values = run.series().get(name);
      if (values != null) {
        series.add(new Series(name, values));
        length = Math.max(length, values.length);
      }
    }
    return new Plot(title, true, "second of the run", yLabel, secondLabels(length), series);
  }

  /**
   * Returns a plot of the units that each group of customers used and of the rate that its plans
   * allow.
   */
  public static Plot quotaUsage(RunResult run) {
    List<Series> series = new ArrayList<>();
    int[] length = {0};
    new TreeMap<>(run.series())
        .forEach(
            (name, values) -> {
              if (name.startsWith("used ") && series.size() + 2 <= MAX_LINES) {
                double[] allowed = new double[values.length];
                Arrays.fill(
                    allowed, run.figures().getOrDefault("plan." + name.substring(5), Double.NaN));
                series.add(new Series(name, values));
                series.add(new Series("plan of " + name.substring(5), allowed));
                length[0] = values.length;
              }
            });
    return new Plot(
        "Use of quotas beside the plans' rate",
        true,
        "second of the run",
        "units a second",
        secondLabels(length[0]),
        series);
  }

  private static List<String> secondLabels(int count) {
    return IntStream.range(0, count).mapToObj(Integer::toString).toList();
  }
}
