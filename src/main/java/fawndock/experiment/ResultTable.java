package fawndock.experiment;

import fawndock.benchmark.MedianStatistics;
import fawndock.experiment.Experiment.Expectation;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.apache.commons.statistics.distribution.TDistribution;

/**
 * Statistics of results: spread over the seeds of a cell, differences between cells paired by seed,
 * and evaluation of expectations. Stateless.
 */
public final class ResultTable {
  private static final double CONFIDENCE_LEVEL = 0.95;
  private static final String VIOLATIONS_FIGURE = "rules-broken";

  /** Median, minimum and maximum of a figure over the seeds of one cell. */
  public record SeedSpread(double median, double min, double max, int seedCount) {}

  /**
   * The mean of the differences between two cells, paired by seed, and the 95% confidence interval
   * of that mean (Student's t). The interval is unbounded when there are fewer than two seeds.
   */
  public record Difference(double mean, double low, double high, int seedCount) {
    /** Returns whether the interval excludes zero. */
    public boolean isSignificant() {
      return low > 0 || high < 0;
    }
  }

  /**
   * The evaluation of an expectation.
   *
   * @param worstValue the value that is worst with regard to the bound, from a run of the worst
   *     cell
   * @param runCount runs that the expectation applies to
   */
  public record ExpectationResult(
      Expectation expectation,
      boolean isSatisfied,
      double worstValue,
      Map<String, String> worstCell,
      long worstSeed,
      int runCount,
      int violationCount) {}

  private ResultTable() {}

  /** Groups results by the values of their variables, in the order of their first occurrence. */
  public static Map<Map<String, String>, List<RunResult>> groupByValues(List<RunResult> results) {
    Map<Map<String, String>, List<RunResult>> cells = new LinkedHashMap<>();
    results.forEach(
        result -> cells.computeIfAbsent(result.values(), key -> new ArrayList<>()).add(result));
    return cells;
  }

  /** Returns the results of runs in which an invariant was violated. */
  public static List<RunResult> violatingRuns(List<RunResult> results) {
    return results.stream()
        .filter(result -> result.figures().getOrDefault(VIOLATIONS_FIGURE, 0.0) > 0)
        .toList();
  }

  /** Returns the spread of a figure over one cell's results, or null when none has it. */
  public static SeedSpread seedSpread(List<RunResult> cell, String figure) {
    double[] values =
        cell.stream()
            .map(result -> result.figures().get(figure))
            .filter(Objects::nonNull)
            .mapToDouble(value -> value)
            .sorted()
            .toArray();
    if (values.length == 0) {
      return null;
    }
    return new SeedSpread(
        MedianStatistics.of(values), values[0], values[values.length - 1], values.length);
  }

  /**
   * Returns the difference of a figure between two cells, from pairs of results with the same seed,
   * or null when there is no such pair.
   */
  public static Difference difference(List<RunResult> base, List<RunResult> other, String figure) {
    Map<Long, Double> baseValueBySeed = new TreeMap<>();
    base.stream()
        .filter(result -> result.figures().containsKey(figure))
        .forEach(result -> baseValueBySeed.put(result.seed(), result.figures().get(figure)));
    double[] differences =
        other.stream()
            .filter(
                result ->
                    result.figures().containsKey(figure)
                        && baseValueBySeed.containsKey(result.seed()))
            .mapToDouble(
                result -> result.figures().get(figure) - baseValueBySeed.get(result.seed()))
            .toArray();
    return differences.length == 0 ? null : confidenceInterval(differences);
  }

  static Difference confidenceInterval(double[] values) {
    int n = values.length;
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    double mean = sum / n;
    if (n < 2) {
      return new Difference(mean, Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY, n);
    }
    double sumOfSquares = 0;
    for (double value : values) {
      sumOfSquares += (value - mean) * (value - mean);
    }
    double halfWidth =
        TDistribution.of(n - 1).inverseCumulativeProbability((1 + CONFIDENCE_LEVEL) / 2)
            * Math.sqrt(sumOfSquares / (n - 1) / n);
    return new Difference(mean, mean - halfWidth, mean + halfWidth, n);
  }

  /**
   * Evaluates each expectation on all runs that meet its conditions. An expectation without such a
   * run is not satisfied.
   */
  public static List<ExpectationResult> evaluate(
      List<Expectation> expectations, List<RunResult> results) {
    List<ExpectationResult> evaluated = new ArrayList<>();
    for (Expectation expectation : expectations) {
      RunResult worstResult = null;
      int runCount = 0;
      int violationCount = 0;
      for (RunResult result : results) {
        Double value = result.figures().get(expectation.figure());
        if (value == null || !Experiment.matches(result.values(), expectation.conditions())) {
          continue;
        }
        runCount++;
        violationCount += expectation.isSatisfiedBy(value) ? 0 : 1;
        double worstValue =
            worstResult == null ? 0 : worstResult.figures().get(expectation.figure());
        if (worstResult == null
            || (expectation.isUpperBound() ? value > worstValue : value < worstValue)) {
          worstResult = result;
        }
      }
      evaluated.add(
          new ExpectationResult(
              expectation,
              runCount > 0 && violationCount == 0,
              worstResult == null ? Double.NaN : worstResult.figures().get(expectation.figure()),
              worstResult == null ? Map.of() : worstResult.values(),
              worstResult == null ? 0 : worstResult.seed(),
              runCount,
              violationCount));
    }
    return evaluated;
  }
}
