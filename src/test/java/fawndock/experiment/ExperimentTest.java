package fawndock.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.experiment.Experiment.Expectation;
import fawndock.policy.DefaultGatewayPolicy;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.config.PolicyConfig;
import fawndock.settings.ConfigurationException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.IntFunction;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExperimentTest {
  @TempDir private Path directory;
  private Path experimentFile;
  private final AtomicInteger createdPolicies = new AtomicInteger();

  private GatewayPolicy countedPolicy(PolicyConfig config) {
    createdPolicies.incrementAndGet();
    return new DefaultGatewayPolicy(config);
  }

  @BeforeEach
  void writeFiles() throws IOException {
    Files.writeString(
        directory.resolve("s.emu"),
        """
                let fleet 1
                let mode calm
                gatekeepers $fleet
                workers 2
                for 2s
                class lookup aim 500ms deadline 2s repeat idempotent
                plan seat rate 20 store 40
                demand crowd class lookup plan seat rate 60 customers 2 remaining 1500ms
                when mode silent trouble counter-silent from 0s until 2s
                """);
    experimentFile = directory.resolve("e.exp");
    writeExperiment("vary fleet 1 3", "vary mode calm silent", "seeds 1..2");
  }

  private Experiment writeExperiment(String... lines) throws IOException {
    Files.writeString(experimentFile, "scenario s.emu\n" + String.join("\n", lines) + "\n");
    try {
      return ExperimentFile.read(experimentFile);
    } catch (ConfigurationException e) {
      throw new IOException(e.getMessage(), e);
    }
  }

  private List<RunResult> runExperiment(Path folder, String build) throws Exception {
    try (ResultStore results = ResultStore.open(folder)) {
      return new ExperimentRunner(ExperimentFile.read(experimentFile), this::countedPolicy, build)
          .run(results, 4, done -> {});
    }
  }

  private static List<String> describe(List<RunResult> all) {
    return all.stream()
        .map(
            result ->
                result.key()
                    + result.values()
                    + result.seed()
                    + result.figures()
                    + Arrays.toString(result.series().get("served")))
        .toList();
  }

  /**
   * An experiment whose process is stopped can leave a results file that is truncated at any byte.
   * The next start keeps the complete lines, repeats only the other runs and gives the same
   * results.
   */
  @Test
  void run_resultsTruncatedAtAnyByte_resumesWithSameResults() throws Exception {
    Path completeFolder = directory.resolve("whole");
    List<RunResult> completeResults = runExperiment(completeFolder, "b");
    assertEquals(8, completeResults.size());
    assertEquals(
        2 * (1 + 1 + 3 + 3), createdPolicies.getAndSet(0), "one policy for each gateway of 8 runs");
    byte[] bytes = Files.readAllBytes(completeFolder.resolve("results.jsonl"));
    List<Integer> lineEnds = new ArrayList<>(List.of(0));
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        lineEnds.add(i + 1);
      }
    }
    Path truncatedFolder = directory.resolve("part");
    Files.createDirectories(truncatedFolder);
    for (int completeLines = 0; completeLines <= 8; completeLines++) {
      for (int length :
          new int[] {
            lineEnds.get(completeLines),
            lineEnds.get(completeLines) + 1,
            (lineEnds.get(completeLines) + lineEnds.get(Math.min(8, completeLines + 1))) / 2,
            lineEnds.get(Math.min(8, completeLines + 1)) - 1
          }) {
        if (length > bytes.length || (completeLines == 8 && length != bytes.length)) {
          continue;
        }
        Files.write(truncatedFolder.resolve("results.jsonl"), Arrays.copyOf(bytes, length));
        try (ResultStore results = ResultStore.open(truncatedFolder)) {
          assertEquals(
              8 - completeLines,
              new ExperimentRunner(ExperimentFile.read(experimentFile), this::countedPolicy, "b")
                  .remainingRuns(results),
              "truncated at " + length);
        }
        assertEquals(
            lineEnds.get(completeLines),
            (int) Files.size(truncatedFolder.resolve("results.jsonl")),
            "the incomplete line is removed");
      }
      if (completeLines % 3 == 2) {
        assertEquals(describe(completeResults), describe(runExperiment(truncatedFolder, "b")));
        assertEquals(8, ResultStore.read(truncatedFolder).size());
      }
    }
    createdPolicies.set(0);
    runExperiment(completeFolder, "b");
    assertEquals(0, createdPolicies.get(), "no run is repeated");
    runExperiment(completeFolder, "other");
    assertEquals(16, createdPolicies.get(), "results of another build are not reused");
  }

  @Test
  void open_secondTimeOrWithMalformedLine_fails() throws Exception {
    Path folder = directory.resolve("r");
    runExperiment(folder, "b");
    try (ResultStore store = ResultStore.open(folder)) {
      assertTrue(
          assertThrows(IOException.class, () -> ResultStore.open(folder))
              .getMessage()
              .contains("in use"));
    }
    Path resultsFile = folder.resolve("results.jsonl");
    Files.writeString(resultsFile, "{\"key\":12,,}\n" + Files.readString(resultsFile));
    assertTrue(
        assertThrows(IOException.class, () -> ResultStore.open(folder))
            .getMessage()
            .contains("results.jsonl:1: not a result"));
  }

  @Test
  void run_failingRun_stopsAndKeepsCompletedResults() throws Exception {
    Path folder = directory.resolve("r");
    Function<PolicyConfig, GatewayPolicy> failingPolicy =
        config -> {
          if (config.instanceCount() == 3) {
            throw new IllegalStateException("no");
          }
          return new DefaultGatewayPolicy(config);
        };
    try (ResultStore results = ResultStore.open(folder)) {
      ExperimentRunner runner =
          new ExperimentRunner(ExperimentFile.read(experimentFile), failingPolicy, "b");
      assertThrows(IOException.class, () -> runner.run(results, 1, done -> {}));
    }
    assertEquals(2, ResultStore.read(folder).size(), "results of the runs before it");
  }

  @Test
  void read_severalErrors_reportsAll() {
    String message =
        assertThrows(
                IOException.class,
                () ->
                    writeExperiment(
                        "vary fleet 1 1",
                        "seeds 5..1",
                        "expect use below 1",
                        "compare mode calm",
                        "skip mode",
                        "vary",
                        "axis speed",
                        "expect use at-most 1 when fleet 9"))
            .getMessage();
    for (String expectedError :
        List.of(
            ":2: a value of fleet is given twice",
            ":3: seeds '5..1'",
            ":4: expect 'use below 1'",
            ":5: 'mode' is not varied with 'calm'",
            ":6: skip has 1",
            ":7: vary has 0",
            ":8: 'speed' is not varied",
            ":9: 'fleet' is not varied with '9'")) {
      assertTrue(message.contains(expectedError), expectedError + " is missing in " + message);
    }
    assertEquals(8, message.lines().count(), message);
    assertTrue(
        assertThrows(IOException.class, () -> writeExperiment("vary speed 1 2"))
            .getMessage()
            .contains("no variable 'speed'"));
    assertTrue(
        assertThrows(IOException.class, () -> writeExperiment("vary fleet 1 0"))
            .getMessage()
            .contains("gatekeepers '0'"));
  }

  private static RunResult runResult(String value, long seed, double use) {
    return new RunResult(
        value + seed,
        Map.of("fleet", value),
        seed,
        "",
        "",
        Map.of("use", use),
        Map.of(),
        List.of(),
        "");
  }

  @Test
  void differenceAndEvaluate_pairSeedsAndFindWorstRuns() {
    double[] otherValues = {1.00, 1.10, 1.30};
    double[] baseValues = {0.90, 1.02, 1.18};
    IntFunction<RunResult> baseResult = i -> runResult("4", i, baseValues[i]);
    IntFunction<RunResult> otherResult =
        i -> runResult("9", 2 - i, otherValues[2 - i]); // Reverse order: the seeds still match.
    List<RunResult> baseCell =
        List.of(baseResult.apply(0), baseResult.apply(1), baseResult.apply(2));
    List<RunResult> otherCell =
        List.of(otherResult.apply(0), otherResult.apply(1), otherResult.apply(2));
    ResultTable.Difference difference = ResultTable.difference(baseCell, otherCell, "use");
    assertEquals(
        0.1, difference.mean(), 1e-9); // 0.10, 0.08, 0.12: t(0.975, 2) = 4.303, deviation 0.02.
    assertEquals(0.1 - 4.302653 * 0.02 / Math.sqrt(3), difference.low(), 1e-6);
    assertTrue(difference.isSignificant());
    assertFalse(
        ResultTable.difference(baseCell.subList(0, 1), otherCell, "use").isSignificant(),
        "one pair has no bounded interval");
    assertNull(ResultTable.difference(baseCell, otherCell, "kept"));
    assertEquals(
        new ResultTable.SeedSpread(1.02, 0.90, 1.18, 3), ResultTable.seedSpread(baseCell, "use"));
    List<RunResult> all =
        List.of(
            baseCell.get(0),
            baseCell.get(1),
            baseCell.get(2),
            otherCell.get(0),
            otherCell.get(1),
            otherCell.get(2));
    List<ResultTable.ExpectationResult> evaluated =
        ResultTable.evaluate(
            List.of(
                new Expectation("use", true, 1.2, Map.of("fleet", List.of("4"))),
                new Expectation("use", true, 1.2, Map.of()),
                new Expectation("use", false, 0.95, Map.of()),
                new Expectation("nothing", true, 1, Map.of())),
            all);
    assertEquals(
        List.of(true, false, false, false),
        evaluated.stream().map(ResultTable.ExpectationResult::isSatisfied).toList());
    assertEquals(1.30, evaluated.get(1).worstValue());
    assertEquals(1, evaluated.get(1).violationCount());
    assertEquals(0.90, evaluated.get(2).worstValue());
  }
}
