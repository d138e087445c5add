package fawndock.experiment;

import fawndock.experiment.Experiment.Expectation;
import fawndock.experiment.Experiment.VariedVariable;
import fawndock.settings.ConfigurationException;
import fawndock.settings.ConfigurationFile;
import fawndock.settings.ConfigurationLine;
import fawndock.simulation.DeploymentFile;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;

/** Reads an experiment file. The meaning of each keyword is in docs/operations/experiment.md. */
public final class ExperimentFile extends ConfigurationFile {
  private static final int MAX_RUNS = 100_000;
  private final List<VariedVariable> variables = new ArrayList<>();
  private final List<Map<String, List<String>>> excluded = new ArrayList<>();
  private final List<Expectation> expectations = new ArrayList<>();
  private List<Long> seeds = List.of(1L, 2L, 3L, 4L, 5L);
  private List<String> shownFigures = List.of("use", "kept", "good-a-try", "p99-ms", "calls-a-try");
  private String title = "";
  private Path scenario;
  private VariedVariable baseline;
  private String axis = "";

  private ExperimentFile(Path file) {
    super(Set.of("vary", "skip", "expect"));
    keywords.put(
        "title", line -> title = String.join(" ", line.words().subList(1, line.words().size())));
    keywords.put(
        "scenario",
        line -> {
          if (hasArgumentCount(line, 1, 1, "scenario FILE")) {
            scenario = file.toAbsolutePath().resolveSibling(line.words().get(1));
          }
        });
    keywords.put(
        "vary",
        line -> {
          if (hasArgumentCount(line, 2, Integer.MAX_VALUE, "vary NAME VALUE VALUE ...")) {
            VariedVariable variable =
                new VariedVariable(
                    line.words().get(1), List.copyOf(line.words().subList(2, line.words().size())));
            if (Set.copyOf(variable.values()).size() < variable.values().size()) {
              addError(
                  line, "a value of " + variable.name() + " is given twice", "each value once");
            }
            if (variables.stream().anyMatch(v -> v.name().equals(variable.name()))) {
              addError(line, variable.name() + " is varied twice", "each name once");
            }
            variables.add(variable);
          }
        });
    keywords.put(
        "skip",
        line -> {
          if (hasArgumentCount(line, 2, Integer.MAX_VALUE, "skip NAME VALUE|VALUE ...")) {
            excluded.add(readConditions(line, 1));
          }
        });
    keywords.put("seeds", this::readSeeds);
    keywords.put(
        "show",
        line -> {
          if (hasArgumentCount(line, 1, Integer.MAX_VALUE, "show FIGURE FIGURE ...")) {
            shownFigures = List.copyOf(line.words().subList(1, line.words().size()));
          }
        });
    keywords.put("expect", this::readExpectation);
    keywords.put(
        "compare",
        line -> {
          if (hasArgumentCount(line, 2, 2, "compare NAME VALUE")) {
            baseline = new VariedVariable(line.words().get(1), List.of(line.words().get(2)));
            crossCheckVariable(line, baseline.name(), baseline.values());
          }
        });
    keywords.put(
        "axis",
        line -> {
          if (hasArgumentCount(line, 1, 1, "axis NAME")) {
            axis = line.words().get(1);
            crossCheckVariable(line, axis, List.of());
          }
        });
  }

  private boolean hasArgumentCount(ConfigurationLine line, int min, int max, String form) {
    int argumentCount = line.words().size() - 1;
    if (argumentCount < min || argumentCount > max) {
      addError(line, line.keyword() + " has " + argumentCount + " arguments", form);
      return false;
    }
    return true;
  }

  private void crossCheckVariable(ConfigurationLine line, String name, List<String> values) {
    crossCheck(
        line,
        () ->
            variables.stream()
                .anyMatch(v -> v.name().equals(name) && v.values().containsAll(values)),
        "'"
            + name
            + "' is not varied"
            + (values.isEmpty() ? "" : " with '" + String.join("|", values) + "'"),
        "a name of a vary line" + (values.isEmpty() ? "" : " and values of it"));
  }

  /** Reads variable names, each followed by one or several values. */
  private Map<String, List<String>> readConditions(ConfigurationLine line, int firstWord) {
    Map<String, List<String>> conditions = new LinkedHashMap<>();
    List<String> words = line.words();
    for (int i = firstWord; i + 1 < words.size(); i += 2) {
      conditions.put(words.get(i), List.of(words.get(i + 1).split("\\|")));
      crossCheckVariable(line, words.get(i), conditions.get(words.get(i)));
    }
    if ((words.size() - firstWord) % 2 == 1) {
      addError(line, "'" + words.get(words.size() - 1) + "' has no value", "NAME VALUE|VALUE");
    }
    return conditions;
  }

  private void readSeeds(ConfigurationLine line) {
    List<String> words = line.words().subList(1, line.words().size());
    if (words.isEmpty()
        || words.stream().anyMatch(word -> !word.matches("[0-9]{1,9}(\\.\\.[0-9]{1,9})?"))) {
      addError(
          line,
          "seeds '" + String.join(" ", words) + "'",
          "whole numbers, or ranges such as 1..20");
      return;
    }
    List<Long> distinctSeeds = new ArrayList<>();
    for (String seedRange : words) {
      String[] bounds = seedRange.split("\\.\\.", 0);
      long firstSeed = Long.parseLong(bounds[0]);
      long lastSeed = Long.parseLong(bounds[bounds.length - 1]);
      if (lastSeed < firstSeed || lastSeed - firstSeed > MAX_RUNS) {
        addError(line, "seeds '" + seedRange + "'", "a range that goes up, of at most " + MAX_RUNS);
        return;
      }
      LongStream.rangeClosed(firstSeed, lastSeed)
          .filter(s -> !distinctSeeds.contains(s))
          .forEach(distinctSeeds::add);
    }
    seeds = List.copyOf(distinctSeeds);
  }

  private void readExpectation(ConfigurationLine line) {
    List<String> words = line.words();
    String form = "expect FIGURE at-most|at-least NUMBER [when NAME VALUE|VALUE ...]";
    if (!hasArgumentCount(line, 3, Integer.MAX_VALUE, form)) {
      return;
    }
    double bound = Double.NaN;
    try {
      bound = Double.parseDouble(words.get(3));
    } catch (NumberFormatException e) {
      // NaN is reported as an error below.
    }
    boolean hasConditions = words.size() > 4;
    if (Double.isNaN(bound)
        || !words.get(2).matches("at-most|at-least")
        || (hasConditions && (!words.get(4).equals("when") || words.size() < 7))) {
      addError(line, "expect '" + String.join(" ", words.subList(1, words.size())) + "'", form);
      return;
    }
    expectations.add(
        new Expectation(
            words.get(1),
            words.get(2).equals("at-most"),
            bound,
            hasConditions ? readConditions(line, 5) : Map.of()));
  }

  /**
   * Reads an experiment file and checks its scenario with each combination of values.
   *
   * @throws ConfigurationException with every error in both files, when there is any
   */
  public static Experiment read(Path file) throws ConfigurationException {
    Experiment experiment = readWithoutScenario(file);
    for (Map<String, String> values : experiment.cells()) {
      DeploymentFile.read(experiment.scenario(), values);
    }
    return experiment;
  }

  /**
   * Reads an experiment file without its scenario, which may have been moved since the run.
   *
   * @throws ConfigurationException with every error in the file, when there is any
   */
  public static Experiment readWithoutScenario(Path file) throws ConfigurationException {
    ExperimentFile reader = new ExperimentFile(file);
    reader.readLines(file);
    reader.addFileErrorIf(reader.scenario == null, "no scenario", "scenario FILE");
    long runs = reader.seeds.size();
    for (VariedVariable variable : reader.variables) {
      runs = Math.min(Integer.MAX_VALUE, runs * variable.values().size());
    }
    reader.addFileErrorIf(
        runs > MAX_RUNS, "more than " + MAX_RUNS + " runs", "fewer values or seeds");
    reader.throwIfErrors();
    String axis =
        reader.axis.isEmpty() && !reader.variables.isEmpty()
            ? reader.variables.get(0).name()
            : reader.axis;
    return new Experiment(
        reader.title.isEmpty() ? file.getFileName().toString() : reader.title,
        reader.scenario,
        List.copyOf(reader.variables),
        List.copyOf(reader.excluded),
        reader.seeds,
        reader.shownFigures,
        List.copyOf(reader.expectations),
        reader.baseline,
        axis);
  }
}
