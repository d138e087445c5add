package fawndock.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * What is to be run, and what is expected of it.
 *
 * @param scenario a deployment file, whose variables are varied
 * @param varied in the order of the file; the last changes fastest
 * @param skipped combinations that are left out
 * @param shown figures that tables and plots show
 * @param compare a variable and the value of it that the others are held against, or null
 * @param axis the variable that plots have along their foot
 */
public record Experiment(
    String title,
    Path scenario,
    List<VariedVariable> varied,
    List<Map<String, List<String>>> skipped,
    List<Long> seeds,
    List<String> shownFigures,
    List<Expectation> expectations,
    VariedVariable baseline,
    String axis) {
  /** A variable and the values that it takes in turns. */
  public record VariedVariable(String name, List<String> values) {}

  /**
   * A bound on a figure, in each cell that has one of the values given.
   *
   * @param most whether the bound is the most; else the least
   */
  public record Expectation(
      String figure, boolean isUpperBound, double bound, Map<String, List<String>> conditions) {
    /** Whether a value is within the bound. */
    public boolean holds(double value) {
      return isUpperBound ? value <= bound : value >= bound;
    }

    /** As the file says it. */
    public String text() {
      StringBuilder text = new StringBuilder(figure + (isUpperBound ? " at most " : " at least ") + bound);
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

  /** Whether these values are among those given for each name. */
  static boolean matches(Map<String, String> values, Map<String, List<String>> given) {
    return given.entrySet().stream().allMatch(e -> e.getValue().contains(values.get(e.getKey())));
  }

  /** All combinations that are not skipped. */
  public List<Map<String, String>> cells() {
    List<Map<String, String>> all = new ArrayList<>(List.of(Map.of()));
    for (VariedVariable vary : varied) {
      List<Map<String, String>> longer = new ArrayList<>();
      for (Map<String, String> each : all) {
        for (String value : vary.values()) {
          Map<String, String> with = new LinkedHashMap<>(each);
          with.put(vary.name(), value);
          longer.add(with);
        }
      }
      all = longer;
    }
    all.removeIf(values -> skipped.stream().anyMatch(s -> matches(values, s)));
    return all;
  }

  /** All runs, seed by seed, so that what is there when it is stopped early has all variants. */
  public List<Run> runs() {
    List<Run> all = new ArrayList<>();
    List<Map<String, String>> cells = cells();
    seeds.forEach(seed -> cells.forEach(values -> all.add(new Run(values, seed))));
    return all;
  }

  /**
   * Outcomes in the order of the runs, and others after them. Of several for the same values and
   * seed, by other settings or builds, those that were added last.
   */
  public List<RunResult> inRunOrder(List<RunResult> all) {
    Map<Run, RunResult> last = new LinkedHashMap<>();
    runs().forEach(run -> last.put(run, null));
    all.forEach(o -> last.put(new Run(o.values(), o.seed()), o));
    return last.values().stream().filter(Objects::nonNull).toList();
  }
}
