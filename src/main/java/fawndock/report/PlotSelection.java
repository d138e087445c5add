package fawndock.report;

import fawndock.experiment.ResultStatistics;
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
 * What is plotted: figures along a variable, split into as many plots as can be read, and the
 * course of single runs.
 */
public final class PlotSelection {
  /** Lines in one plot that a person can still tell apart. */
  static final int MAX_LINES = 8;

  /** A line: its name, and a value for each point of the axis, NaN where there is none. */
  @SuppressWarnings("ArrayRecordComponent") // The chart library takes arrays; never compared.
  public record Series(String name, double[] values) {}

  /**
   * One plot.
   *
   * @param course whether its foot is the seconds of a run; else values that a variable takes
   * @param foot the values along the axis, as they are named
   */
  public record Plot(
      String title,
      boolean course,
      String xLabel,
      String yLabel,
      List<String> foot,
      List<Series> series) {}

  private PlotSelection() {}

  /** Each variable with the values that it takes, those of one value left out. */
  static Map<String, Set<String>> varied(List<RunResult> all) {
    Map<String, Set<String>> varied = new LinkedHashMap<>();
    all.forEach(
        o ->
            o.values()
                .forEach(
                    (name, value) ->
                        varied.computeIfAbsent(name, n -> new LinkedHashSet<>()).add(value)));
    varied.values().removeIf(values -> values.size() < 2);
    return varied;
  }

  /** Values as they are read: those of the variables that vary. */
  static String named(Map<String, String> values, Set<String> names) {
    List<String> all = new ArrayList<>();
    values.forEach(
        (name, value) -> {
          if (names.contains(name)) {
            all.add(name + " " + value);
          }
        });
    return all.isEmpty() ? "all" : String.join(", ", all);
  }

  /**
   * A figure's medians along a variable. The other variables that vary make lines; when those are
   * too many, the first of them make plots of their own.
   *
   * @param sets results, each with its name, empty for the only one
   */
  public static List<Plot> along(String axis, String figure, Map<String, List<RunResult>> sets) {
    List<RunResult> every = new ArrayList<>();
    sets.values().forEach(every::addAll);
    Map<String, Set<String>> varied = varied(every);
    Set<String> foot = varied.getOrDefault(axis, Set.of());
    if (foot.isEmpty()) {
      return List.of();
    }
    List<String> others = new ArrayList<>(varied.keySet());
    others.remove(axis);
    int lines = sets.size();
    int inPlot = others.size();
    while (inPlot > 0 && lines * varied.get(others.get(inPlot - 1)).size() <= MAX_LINES) {
      lines *= varied.get(others.get(--inPlot)).size();
    }
    Set<String> plotNames = new LinkedHashSet<>(others.subList(0, inPlot));
    Set<String> lineNames = new LinkedHashSet<>(others.subList(inPlot, others.size()));
    List<String> points = new ArrayList<>(foot);
    if (points.stream().allMatch(p -> p.matches("-?[0-9]+(\\.[0-9]+)?"))) {
      points.sort(Comparator.comparingDouble(Double::parseDouble));
    }
    Map<String, Map<String, double[]>> plots = new LinkedHashMap<>();
    sets.forEach(
        (set, outcomes) ->
            ResultStatistics.groupByValues(outcomes)
                .forEach(
                    (values, cell) -> {
                      ResultStatistics.SeedSpread spread = ResultStatistics.seedSpread(cell, figure);
                      String line =
                          (named(values, lineNames) + (set.isEmpty() ? "" : ", " + set))
                              .replaceFirst("^all, ", "");
                      double[] at =
                          plots
                              .computeIfAbsent(named(values, plotNames), n -> new LinkedHashMap<>())
                              .computeIfAbsent(
                                  line,
                                  n -> {
                                    double[] none = new double[points.size()];
                                    Arrays.fill(none, Double.NaN);
                                    return none;
                                  });
                      if (spread != null) {
                        at[points.indexOf(values.get(axis))] = spread.median();
                      }
                    }));
    List<Plot> made = new ArrayList<>();
    plots.forEach(
        (name, byLine) -> {
          List<Series> series = new ArrayList<>();
          byLine.forEach((line, values) -> series.add(new Series(line, values)));
          made.add(
              new Plot(
                  figure + (name.equals("all") ? "" : " (" + name + ")"),
                  false,
                  axis,
                  figure,
                  points,
                  series));
        });
    return made;
  }

  /** How one run went: some of its series, a point a second. */
  public static Plot course(RunResult run, String title, String yLabel, List<String> names) {
    List<Series> series = new ArrayList<>();
    int length = 0;
    for (String name : names) {
      double[] values = run.series().get(name);
      if (values != null) {
        series.add(new Series(name, values));
        length = Math.max(length, values.length);
      }
    }
    return new Plot(title, true, "second of the run", yLabel, seconds(length), series);
  }

  /** What each group of customers used beside what its plans allow. */
  public static Plot quota(RunResult run) {
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
        seconds(length[0]),
        series);
  }

  private static List<String> seconds(int many) {
    return IntStream.range(0, many).mapToObj(Integer::toString).toList();
  }
}
