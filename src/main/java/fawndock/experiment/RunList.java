package fawndock.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The list of the runs of the experiment that completed last in a folder. The stored results of the
 * folder may also be of other settings, other builds and other experiments. Stateless.
 */
public final class RunList {
  private static final String FILE = "experiment-runs.json";
  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * A listed run. Its property names are those of {@link RunResult}.
   *
   * @param key key of the stored result, which several runs share when their settings are equal
   */
  private record ListedRun(String key, Map<String, String> values) {}

  private RunList() {}

  /** Lists the runs of a completed experiment and replaces the list that is there. */
  public static void write(Path folder, List<RunResult> results) throws IOException {
    List<ListedRun> runs =
        results.stream().map(result -> new ListedRun(result.key(), result.values())).toList();
    AtomicFileWriter.write(folder.resolve(FILE), JSON.writeValueAsString(runs));
  }

  /**
   * Selects the results of the listed runs, in the order of the list. A run whose result is not
   * stored is left out.
   *
   * @param results all stored results of the folder
   * @throws IOException when there is no list, as in folders of earlier versions, and the results
   *     are of several settings or builds
   */
  static List<RunResult> select(Path folder, List<RunResult> results) throws IOException {
    Path file = folder.resolve(FILE);
    if (!Files.isRegularFile(file)) {
      rejectSeveralExperiments(folder, results);
      return results;
    }
    Map<String, RunResult> resultsByKey = new HashMap<>();
    results.forEach(result -> resultsByKey.put(result.key(), result));
    List<RunResult> selected = new ArrayList<>();
    for (ListedRun run : read(file)) {
      RunResult result = resultsByKey.get(run.key());
      if (result != null) {
        selected.add(result.withValues(run.values()));
      }
    }
    return selected;
  }

  private static List<ListedRun> read(Path file) throws IOException {
    try {
      return List.of(JSON.readValue(Files.readString(file), ListedRun[].class));
    } catch (JsonProcessingException e) {
      throw new IOException(
          file
              + ": not a list of runs: "
              + e.getOriginalMessage()
              + "; 'fawndock experiment' writes it again",
          e);
    }
  }

  private static void rejectSeveralExperiments(Path folder, List<RunResult> results)
      throws IOException {
    Set<String> builds = new HashSet<>();
    Set<Experiment.Run> runs = new HashSet<>();
    Map<Map<String, String>, String> settingsByValues = new HashMap<>();
    for (RunResult result : results) {
      builds.add(result.build());
      boolean isRepeatedRun = !runs.add(new Experiment.Run(result.values(), result.seed()));
      String firstSettings = settingsByValues.putIfAbsent(result.values(), result.settings());
      boolean hasOtherSettings = firstSettings != null && !firstSettings.equals(result.settings());
      if (builds.size() > 1 || isRepeatedRun || hasOtherSettings) {
        throw new IOException(
            folder
                + ": results of several settings or builds and no "
                + FILE
                + ", expected results of one experiment; run the experiment again");
      }
    }
  }
}
