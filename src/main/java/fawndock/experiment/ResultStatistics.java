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

/** Results put together: over seeds, against expectations, and seed by seed against each other. */
public final class ResultStatistics {
  private static final double CONFIDENCE = 0.95;

  /** A figure over the seeds of one cell. */
  public record SeedSpread(double median, double min, double max, int seedCount) {}

  /**
   * The mean of the differences between two cells, seed by seed, and the 95% confidence interval of
   * that mean (Student's t); the interval has no ends when there are fewer than two seeds.
   */
  public record Difference(double mean, double low, double high, int seedCount) {
    /** Whether the interval leaves out zero. */
    public boolean isSignificant() {
      return low > 0 || high < 0;
    }
  }

  /** An expectation in the cell where it held worst. */
  public record ExpectationResult(
      Expectation expectation,
      boolean isSatisfied,
      double worstValue,
      Map<String, String> worstCell,
      long worstSeed,
      int runCount,
      int violationCount) {}

  private ResultStatistics() {}

  /** Outcomes by their values, in the order in which they come. */
  public static Map<Map<String, String>, List<RunResult>> groupByValues(List<RunResult> all) {
    Map<Map<String, String>, List<RunResult>> runCount = new LinkedHashMap<>();
    all.forEach(o -> runCount.computeIfAbsent(o.values(), v -> new ArrayList<>()).add(o));
    return runCount;
  }

  /** A figure of one cell's outcomes, or null when none has it. */
  public static SeedSpread seedSpread(List<RunResult> cell, String figure) {
    double[] values =
        cell.stream()
            .map(o -> o.figures().get(figure))
            .filter(Objects::nonNull)
            .mapToDouble(v -> v)
            .sorted()
            .toArray();
    if (values.length == 0) {
      return null;
    }
    return new SeedSpread(
        MedianStatistics.of(values), values[0], values[values.length - 1], values.length);
  }

  /**
   * The differences of a figure between the outcomes of two cells that have the same seed, or null
   * when none have.
   */
  public static Difference difference(List<RunResult> base, List<RunResult> other, String figure) {
    Map<Long, Double> bySeed = new TreeMap<>();
    base.stream()
        .filter(o -> o.figures().containsKey(figure))
        .forEach(o -> bySeed.put(o.seed(), o.figures().get(figure)));
    double[] differences =
        other.stream()
            .filter(o -> o.figures().containsKey(figure) && bySeed.containsKey(o.seed()))
            .mapToDouble(o -> o.figures().get(figure) - bySeed.get(o.seed()))
            .toArray();
    return differences.length == 0 ? null : interval(differences);
  }

  static Difference interval(double[] values) {
    int n = values.length;
    double sum = 0;
    for (double each : values) {
      sum += each;
    }
    double mean = sum / n;
    if (n < 2) {
      return new Difference(mean, Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY, n);
    }
    double squares = 0;
    for (double each : values) {
      squares += (each - mean) * (each - mean);
    }
    double half =
        TDistribution.of(n - 1).inverseCumulativeProbability((1 + CONFIDENCE) / 2)
            * Math.sqrt(squares / (n - 1) / n);
    return new Difference(mean, mean - half, mean + half, n);
  }

  /**
   * Each expectation, held against every run that it is meant for; one that is meant for none is
   * not kept.
   */
  public static List<ExpectationResult> evaluate(List<Expectation> expected, List<RunResult> all) {
    List<ExpectationResult> judged = new ArrayList<>();
    for (Expectation expect : expected) {
      RunResult worst = null;
      int runs = 0;
      int broken = 0;
      for (RunResult each : all) {
        Double value = each.figures().get(expect.figure());
        if (value == null || !Experiment.matches(each.values(), expect.conditions())) {
          continue;
        }
        runs++;
        broken += expect.holds(value) ? 0 : 1;
        double before = worst == null ? 0 : worst.figures().get(expect.figure());
        if (worst == null || (expect.isUpperBound() ? value > before : value < before)) {
          worst = each;
        }
      }
      judged.add(
          new ExpectationResult(
              expect,
              runs > 0 && broken == 0,
              worst == null ? Double.NaN : worst.figures().get(expect.figure()),
              worst == null ? Map.of() : worst.values(),
              worst == null ? 0 : worst.seed(),
              runs,
              broken));
    }
    return judged;
  }
}
