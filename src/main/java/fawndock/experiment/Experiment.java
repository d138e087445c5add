package fawndock.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An experiment: the combinations of values and the seeds that a scenario runs with, and the
 * expectations of the results. A cell is one combination of values, over all seeds. Immutable.
 *
 * @param scenario a deployment file that declares the variables
 * @param variables in the order of the file; the last one changes fastest
 * @param excluded combinations that are not run
 * @param shownFigures figures that tables and plots show
 * @param baseline a variable and the value that its other values are compared with, or null
 * @param axis the variable on the x-axis of plots
 */
public record Experiment(
    String title,
    Path scenario,
    List<VariedVariable> variables,
    List<Map<String, List<String>>> excluded,
    List<Long> seeds,
    List<String> shownFigures,
    List<Expectation> expectations,
    VariedVariable baseline,
    String axis) {
  /** A variable and its values, one for each variant. */
  public record VariedVariable(String name, List<String> values) {}

  /**
   * A bound on a figure, for each cell that meets the conditions.
   *
   * @param isUpperBound whether the bound is the maximum; otherwise it is the minimum
   * @param conditions allowed values by variable
   */
  public record Expectation(
      String figure, boolean isUpperBound, double bound, Map<String, List<String>> conditions) {
    /** Returns whether a value is within the bound. */
    public boolean isSatisfiedBy(double value) {
      return isUpperBound ? value <= bound : value >= bound;
    }

    /** Returns the expectation in the syntax of the experiment file. */
    public String text() {
      StringBuilder text =
          new StringBuilder(figure + (isUpperBound ? " at most " : " at least ") + bound);
      conditions.forEach(
          (name, values) ->
              text.append(text.indexOf(" when ") < 0 ? " when " : ", ")
                  .append(name)
                  .append(' ')
                  .append(String.join("|", values)));
      return text.toString();
    }
  }

  /** One run: a value of each variable, and a seed. */
  public record Run(Map<String, String> values, long seed) {}

  /** Returns whether the value of each listed variable is among its allowed values. */
  static boolean matches(Map<String, String> values, Map<String, List<String>> allowedValues) {
    return allowedValues.entrySet().stream()
        .allMatch(entry -> entry.getValue().contains(values.get(entry.getKey())));
  }

  /** Returns all combinations of values that are not excluded. */
  public List<Map<String, String>> cells() {
    List<Map<String, String>> all = new ArrayList<>(List.of(Map.of()));
    for (VariedVariable variable : variables) {
      List<Map<String, String>> extended = new ArrayList<>();
      for (Map<String, String> combination : all) {
        for (String value : variable.values()) {
          Map<String, String> extendedCombination = new LinkedHashMap<>(combination);
          extendedCombination.put(variable.name(), value);
          extended.add(extendedCombination);
        }
      }
      all = extended;
    }
    all.removeIf(values -> excluded.stream().anyMatch(exclusion -> matches(values, exclusion)));
    return all;
  }

  /**
   * Returns all runs. All variants of a seed come before the next seed, so that an experiment that
   * is stopped early has results of all variants.
   */
  public List<Run> runs() {
    List<Run> all = new ArrayList<>();
    List<Map<String, String>> cells = cells();
    seeds.forEach(seed -> cells.forEach(values -> all.add(new Run(values, seed))));
    return all;
  }

  /** Returns results in the order of the runs, followed by results of other runs. */
  public List<RunResult> inRunOrder(List<RunResult> results) {
    Map<Run, Integer> positions = new HashMap<>();
    runs().forEach(run -> positions.put(run, positions.size()));
    return results.stream()
        .sorted(
            Comparator.comparingInt(
                result ->
                    positions.getOrDefault(
                        new Run(result.values(), result.seed()), Integer.MAX_VALUE)))
        .toList();
  }
}
