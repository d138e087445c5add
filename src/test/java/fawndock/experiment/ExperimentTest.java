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
  private Path file;
  private final AtomicInteger made = new AtomicInteger();

  private GatewayPolicy countedPolicy(PolicyConfig config) {
    made.incrementAndGet();
    return new DefaultGatewayPolicy(config);
  }

  @BeforeEach
  void scenario() throws IOException {
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
    file = directory.resolve("e.exp");
    write("vary fleet 1 3", "vary mode calm silent", "seeds 1..2");
  }

  private Experiment write(String... lines) throws IOException {
    Files.writeString(file, "scenario s.emu\n" + String.join("\n", lines) + "\n");
    try {
      return ExperimentFile.read(file);
    } catch (ConfigurationException e) {
      throw new IOException(e.getMessage(), e);
    }
  }

  private List<RunResult> run(Path folder, String build) throws Exception {
    try (ResultStore results = ResultStore.open(folder)) {
      return new ExperimentRunner(ExperimentFile.read(file), this::countedPolicy, build)
          .run(results, 4, done -> {});
    }
  }

  private static List<String> told(List<RunResult> all) {
    return all.stream()
        .map(
            o ->
                o.key()
                    + o.values()
                    + o.seed()
                    + o.figures()
                    + Arrays.toString(o.series().get("served")))
        .toList();
  }

  /**
   * Cut off at any byte, it goes on with what was whole, does that not again, and ends with the
   * same results.
   */
  @Test
  void anExperimentStoppedAtAnyMomentGoesOn() throws Exception {
    Path whole = directory.resolve("whole");
    List<RunResult> first = run(whole, "b");
    assertEquals(8, first.size());
    assertEquals(2 * (1 + 1 + 3 + 3), made.getAndSet(0), "gatekeepers of 8 runs");
    byte[] bytes = Files.readAllBytes(whole.resolve("results.jsonl"));
    List<Integer> ends = new ArrayList<>(List.of(0));
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        ends.add(i + 1);
      }
    }
    Path part = directory.resolve("part");
    Files.createDirectories(part);
    for (int line = 0; line <= 8; line++) {
      for (int cut :
          new int[] {
            ends.get(line),
            ends.get(line) + 1,
            (ends.get(line) + ends.get(Math.min(8, line + 1))) / 2,
            ends.get(Math.min(8, line + 1)) - 1
          }) {
        if (cut > bytes.length || (line == 8 && cut != bytes.length)) {
          continue;
        }
        Files.write(part.resolve("results.jsonl"), Arrays.copyOf(bytes, cut));
        try (ResultStore results = ResultStore.open(part)) {
          assertEquals(
              8 - line,
              new ExperimentRunner(ExperimentFile.read(file), this::countedPolicy, "b")
                  .remainingRuns(results),
              "cut at " + cut);
        }
        assertEquals(
            ends.get(line),
            (int) Files.size(part.resolve("results.jsonl")),
            "what was cut off is gone");
      }
      if (line % 3 == 2) {
        assertEquals(told(first), told(run(part, "b")));
        assertEquals(8, ResultStore.read(part).size());
      }
    }
    made.set(0);
    run(whole, "b");
    assertEquals(0, made.get(), "nothing is done twice");
    run(whole, "other");
    assertEquals(16, made.get(), "another build's results are not taken for this one's");
  }

  @Test
  void oneProcessAtATimeAndADamagedLineIsTold() throws Exception {
    Path folder = directory.resolve("r");
    run(folder, "b");
    try (ResultStore open = ResultStore.open(folder)) {
      assertTrue(
          assertThrows(IOException.class, () -> ResultStore.open(folder))
              .getMessage()
              .contains("in use"));
    }
    Path lines = folder.resolve("results.jsonl");
    Files.writeString(lines, "{\"key\":12,,}\n" + Files.readString(lines));
    assertTrue(
        assertThrows(IOException.class, () -> ResultStore.open(folder))
            .getMessage()
            .contains("results.jsonl:1: not a result"));
  }

  @Test
  void aRunThatFailsEndsTheExperimentAndKeepsTheOthers() throws Exception {
    Path folder = directory.resolve("r");
    Function<PolicyConfig, GatewayPolicy> broken =
        s -> {
          if (s.instanceCount() == 3) {
            throw new IllegalStateException("no");
          }
          return new DefaultGatewayPolicy(s);
        };
    try (ResultStore results = ResultStore.open(folder)) {
      ExperimentRunner runner = new ExperimentRunner(ExperimentFile.read(file), broken, "b");
      assertThrows(IOException.class, () -> runner.run(results, 1, done -> {}));
    }
    assertEquals(2, ResultStore.read(folder).size(), "those before it");
  }

  @Test
  void allMistakesAreToldAtOnce() {
    String told =
        assertThrows(
                IOException.class,
                () ->
                    write(
                        "vary fleet 1 1",
                        "seeds 5..1",
                        "expect use below 1",
                        "compare mode calm",
                        "skip mode",
                        "vary",
                        "axis speed",
                        "expect use at-most 1 when fleet 9"))
            .getMessage();
    for (String each :
        List.of(
            ":2: a value of fleet is given twice",
            ":3: seeds '5..1'",
            ":4: expect 'use below 1'",
            ":5: 'mode' is not varied with 'calm'",
            ":6: skip has 1",
            ":7: vary has 0",
            ":8: 'speed' is not varied",
            ":9: 'fleet' is not varied with '9'")) {
      assertTrue(told.contains(each), each + " in " + told);
    }
    assertEquals(8, told.lines().count(), told);
    assertTrue(
        assertThrows(IOException.class, () -> write("vary speed 1 2"))
            .getMessage()
            .contains("no variable 'speed'"));
    assertTrue(
        assertThrows(IOException.class, () -> write("vary fleet 1 0"))
            .getMessage()
            .contains("gatekeepers '0'"));
  }

  private static RunResult outcome(String value, long seed, double use) {
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
  void cellsArePutTogetherAndJudged() {
    double[] with = {1.00, 1.10, 1.30};
    double[] without = {0.90, 1.02, 1.18};
    IntFunction<RunResult> a = i -> outcome("4", i, without[i]);
    IntFunction<RunResult> b =
        i -> outcome("9", 2 - i, with[2 - i]); // In another order: paired by seed all the same.
    List<RunResult> base = List.of(a.apply(0), a.apply(1), a.apply(2));
    List<RunResult> other = List.of(b.apply(0), b.apply(1), b.apply(2));
    ResultTable.Difference d = ResultTable.difference(base, other, "use");
    assertEquals(0.1, d.mean(), 1e-9); // 0.10, 0.08, 0.12: t(0.975, 2) = 4.303, deviation 0.02.
    assertEquals(0.1 - 4.302653 * 0.02 / Math.sqrt(3), d.low(), 1e-6);
    assertTrue(d.isSignificant());
    assertFalse(
        ResultTable.difference(base.subList(0, 1), other, "use").isSignificant(),
        "one pair tells nothing");
    assertNull(ResultTable.difference(base, other, "kept"));
    assertEquals(
        new ResultTable.SeedSpread(1.02, 0.90, 1.18, 3), ResultTable.seedSpread(base, "use"));
    List<RunResult> all =
        List.of(base.get(0), base.get(1), base.get(2), other.get(0), other.get(1), other.get(2));
    List<ResultTable.ExpectationResult> judged =
        ResultTable.evaluate(
            List.of(
                new Expectation("use", true, 1.2, Map.of("fleet", List.of("4"))),
                new Expectation("use", true, 1.2, Map.of()),
                new Expectation("use", false, 0.95, Map.of()),
                new Expectation("nothing", true, 1, Map.of())),
            all);
    assertEquals(
        List.of(true, false, false, false),
        judged.stream().map(ResultTable.ExpectationResult::isSatisfied).toList());
    assertEquals(1.30, judged.get(1).worstValue());
    assertEquals(1, judged.get(1).violationCount());
    assertEquals(0.90, judged.get(2).worstValue());
  }
}
