package fawndock.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RunListTest {
  @TempDir private Path folder;

  private static RunResult result(String key, String fleet, long seed, String build) {
    return new RunResult(
        key, Map.of("fleet", fleet), seed, "", build, Map.of(), Map.of(), List.of(), "");
  }

  private static RunResult resultOfSettings(String key, long seed, String settings) {
    return new RunResult(
        key, Map.of("fleet", "4"), seed, settings, "b1", Map.of(), Map.of(), List.of(), "");
  }

  private static List<String> describe(List<RunResult> results) {
    return results.stream()
        .map(result -> result.key() + result.values() + result.seed() + result.build())
        .toList();
  }

  @Test
  void select_listedRuns_omitsOtherBuildsAndRuns() throws IOException {
    RunResult formerBuild = result("k1", "4", 1, "b1");
    RunResult formerSeed = result("k2", "4", 2, "b1");
    RunResult latest = result("k3", "4", 1, "b2");
    RunList.write(folder, List.of(formerBuild));
    RunList.write(folder, List.of(latest));
    assertEquals(
        describe(List.of(latest)),
        describe(RunList.select(folder, List.of(formerBuild, formerSeed, latest))));
  }

  /** Cells with equal settings share a stored result; a report shows both of them. */
  @Test
  void select_runsThatShareAResult_haveTheirOwnValues() throws IOException {
    RunResult stored = result("k1", "4", 1, "b1");
    RunList.write(folder, List.of(stored, result("k1", "9", 1, "b1"), result("k2", "9", 2, "b1")));
    assertEquals(
        List.of("k1{fleet=4}1b1", "k1{fleet=9}1b1"),
        describe(RunList.select(folder, List.of(stored))));
  }

  @Test
  void select_noList_acceptsResultsOfOneExperimentOnly() throws IOException {
    RunResult result = result("k1", "4", 1, "b1");
    List<RunResult> oneExperiment = List.of(result, result("k2", "4", 2, "b1"));
    assertEquals(oneExperiment, RunList.select(folder, oneExperiment));
    for (RunResult other : List.of(result("k3", "4", 1, "b1"), result("k3", "4", 2, "b2"))) {
      String message =
          assertThrows(IOException.class, () -> RunList.select(folder, List.of(result, other)))
              .getMessage();
      assertTrue(message.contains("run the experiment again"), message);
    }
  }

  /**
   * Different seeds of different settings are no run twice, but a median over both is of neither.
   */
  @Test
  void select_noListAndOtherSettingsWithOtherSeeds_fails() {
    RunResult result = resultOfSettings("k1", 1, "plan seat rate 5");
    RunResult ofOtherSettings = resultOfSettings("k2", 2, "plan seat rate 10");
    assertThrows(IOException.class, () -> RunList.select(folder, List.of(result, ofOtherSettings)));
  }

  @Test
  void select_malformedList_fails() throws IOException {
    Files.writeString(folder.resolve("experiment-runs.json"), "[{\"key\":12,,}]");
    String message =
        assertThrows(IOException.class, () -> RunList.select(folder, List.of())).getMessage();
    assertTrue(message.contains("experiment-runs.json: not a list of runs"), message);
  }
}
