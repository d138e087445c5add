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

/** Reads an experiment; what each keyword means is in docs/operations/experiment.md. */
public final class ExperimentFile extends ConfigurationFile {
  private static final int MOST_RUNS = 100_000;
  private final List<VariedVariable> varied = new ArrayList<>();
  private final List<Map<String, List<String>>> skipped = new ArrayList<>();
  private final List<Expectation> expected = new ArrayList<>();
  private List<Long> seeds = List.of(1L, 2L, 3L, 4L, 5L);
  private List<String> shown = List.of("use", "kept", "good-a-try", "p99-ms", "calls-a-try");
  private String title = "";
  private Path scenario;
  private VariedVariable compare;
  private String axis = "";

  private ExperimentFile(Path file) {
    super(Set.of("vary", "skip", "expect"));
    keywords.put(
        "title", line -> title = String.join(" ", line.words().subList(1, line.words().size())));
    keywords.put(
        "scenario",
        line -> {
          if (needs(line, 1, 1, "scenario FILE")) {
            scenario = file.toAbsolutePath().resolveSibling(line.words().get(1));
          }
        });
    keywords.put(
        "vary",
        line -> {
          if (needs(line, 2, Integer.MAX_VALUE, "vary NAME VALUE VALUE ...")) {
            VariedVariable vary =
                new VariedVariable(
                    line.words().get(1), List.copyOf(line.words().subList(2, line.words().size())));
            if (Set.copyOf(vary.values()).size() < vary.values().size()) {
              addError(line, "a value of " + vary.name() + " is given twice", "each value once");
            }
            if (varied.stream().anyMatch(v -> v.name().equals(vary.name()))) {
              addError(line, vary.name() + " is varied twice", "each name once");
            }
            varied.add(vary);
          }
        });
    keywords.put(
        "skip",
        line -> {
          if (needs(line, 2, Integer.MAX_VALUE, "skip NAME VALUE|VALUE ...")) {
            skipped.add(pairs(line, 1));
          }
        });
    keywords.put("seeds", this::seeds);
    keywords.put(
        "show",
        line -> {
          if (needs(line, 1, Integer.MAX_VALUE, "show FIGURE FIGURE ...")) {
            shown = List.copyOf(line.words().subList(1, line.words().size()));
          }
        });
    keywords.put("expect", this::expect);
    keywords.put(
        "compare",
        line -> {
          if (needs(line, 2, 2, "compare NAME VALUE")) {
            compare = new VariedVariable(line.words().get(1), List.of(line.words().get(2)));
            checkLater(line, compare.name(), compare.values());
          }
        });
    keywords.put(
        "axis",
        line -> {
          if (needs(line, 1, 1, "axis NAME")) {
            axis = line.words().get(1);
            checkLater(line, axis, List.of());
          }
        });
  }

  private boolean needs(ConfigurationLine line, int least, int most, String form) {
    int has = line.words().size() - 1;
    if (has < least || has > most) {
      addError(line, line.keyword() + " has " + has + " arguments", form);
      return false;
    }
    return true;
  }

  private void checkLater(ConfigurationLine line, String name, List<String> values) {
    crossCheck(
        line,
        () ->
            varied.stream().anyMatch(v -> v.name().equals(name) && v.values().containsAll(values)),
        "'"
            + name
            + "' is not varied"
            + (values.isEmpty() ? "" : " with '" + String.join("|", values) + "'"),
        "a name of a vary line" + (values.isEmpty() ? "" : " and values of it"));
  }

  /** Names, each with one or several values of it. */
  private Map<String, List<String>> pairs(ConfigurationLine line, int from) {
    Map<String, List<String>> all = new LinkedHashMap<>();
    List<String> words = line.words();
    for (int i = from; i + 1 < words.size(); i += 2) {
      all.put(words.get(i), List.of(words.get(i + 1).split("\\|")));
      checkLater(line, words.get(i), all.get(words.get(i)));
    }
    if ((words.size() - from) % 2 == 1) {
      addError(line, "'" + words.get(words.size() - 1) + "' has no value", "NAME VALUE|VALUE");
    }
    return all;
  }

  private void seeds(ConfigurationLine line) {
    List<String> words = line.words().subList(1, line.words().size());
    if (words.isEmpty()
        || words.stream().anyMatch(w -> !w.matches("[0-9]{1,9}(\\.\\.[0-9]{1,9})?"))) {
      addError(
          line,
          "seeds '" + String.join(" ", words) + "'",
          "whole numbers, or ranges such as 1..20");
      return;
    }
    List<Long> all = new ArrayList<>();
    for (String word : words) {
      String[] ends = word.split("\\.\\.", 0);
      long from = Long.parseLong(ends[0]);
      long to = Long.parseLong(ends[ends.length - 1]);
      if (to < from || to - from > MOST_RUNS) {
        addError(line, "seeds '" + word + "'", "a range that goes up, of at most " + MOST_RUNS);
        return;
      }
      LongStream.rangeClosed(from, to).filter(s -> !all.contains(s)).forEach(all::add);
    }
    seeds = List.copyOf(all);
  }

  private void expect(ConfigurationLine line) {
    List<String> words = line.words();
    String form = "expect FIGURE at-most|at-least NUMBER [when NAME VALUE|VALUE ...]";
    if (!needs(line, 3, Integer.MAX_VALUE, form)) {
      return;
    }
    double bound = Double.NaN;
    try {
      bound = Double.parseDouble(words.get(3));
    } catch (NumberFormatException e) {
      // Told below.
    }
    boolean when = words.size() > 4;
    if (Double.isNaN(bound)
        || !words.get(2).matches("at-most|at-least")
        || (when && (!words.get(4).equals("when") || words.size() < 7))) {
      addError(line, "expect '" + String.join(" ", words.subList(1, words.size())) + "'", form);
      return;
    }
    expected.add(
        new Expectation(
            words.get(1), words.get(2).equals("at-most"), bound, when ? pairs(line, 5) : Map.of()));
  }

  /**
   * Reads an experiment and its scenario, with the first value of each variable.
   *
   * @throws ConfigurationException with every error when there is any
   */
  public static Experiment read(Path file) throws ConfigurationException {
    Experiment read = readWithoutScenario(file);
    for (Map<String, String> values : read.cells()) {
      DeploymentFile.read(read.scenario(), values);
    }
    return read;
  }

  /** The same without a look at the scenario, which may be elsewhere by now. */
  public static Experiment readWithoutScenario(Path file) throws ConfigurationException {
    ExperimentFile f = new ExperimentFile(file);
    f.readLines(file);
    f.addFileErrorIf(f.scenario == null, "no scenario", "scenario FILE");
    long runs = f.seeds.size();
    for (VariedVariable vary : f.varied) {
      runs = Math.min(Integer.MAX_VALUE, runs * vary.values().size());
    }
    f.addFileErrorIf(runs > MOST_RUNS, "more than " + MOST_RUNS + " runs", "fewer values or seeds");
    f.throwIfErrors();
    String axis = f.axis.isEmpty() && !f.varied.isEmpty() ? f.varied.get(0).name() : f.axis;
    return new Experiment(
        f.title.isEmpty() ? file.getFileName().toString() : f.title,
        f.scenario,
        List.copyOf(f.varied),
        List.copyOf(f.skipped),
        f.seeds,
        f.shown,
        List.copyOf(f.expected),
        f.compare,
        axis);
  }
}
