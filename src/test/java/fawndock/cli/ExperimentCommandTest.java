package fawndock.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.experiment.ModifiedBuild;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs {@code experiment} with builds of the program that differ in one class. */
class ExperimentCommandTest {
  @TempDir private Path directory;
  private Path experimentFile;

  private record Run(int exitCode, String output) {}

  /** An experiment in which customers ask for three times their plan. */
  @BeforeEach
  void writeFiles() throws IOException {
    Files.writeString(
        directory.resolve("quota.emu"),
        """
        gatekeepers 2
        workers 8 cores 4 work 20ms
        for 20s
        class lookup aim 500ms deadline 2s repeat idempotent
        plan seat rate 5 store 5
        demand desks class lookup plan seat rate 60 customers 4 remaining 1500ms
        """);
    experimentFile =
        Files.writeString(
            directory.resolve("quota.exp"),
            "scenario quota.emu\nseeds 1..2\nexpect use at-most 1.2\n");
  }

  private Run runExperiment(ModifiedBuild build) throws IOException, InterruptedException {
    Process process = build.start("experiment", experimentFile.toString());
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return new Run(process.waitFor(), output);
  }

  private static void assertPrints(String expected, Run run) {
    assertTrue(run.output().contains(expected), expected + " is not in " + run.output());
  }

  /** Results of a former policy would be printed as those of a policy that exceeds the quotas. */
  @Test
  void experiment_afterAChangeOfThePolicy_repeatsAllRuns() throws Exception {
    ModifiedBuild original = ModifiedBuild.copyTo(directory.resolve("original"));
    Run first = runExperiment(original);
    assertPrints("2 runs, 2 to be done", first);
    assertPrints("holds: use at most 1.2", first);
    assertEquals(0, first.exitCode());
    assertPrints("2 runs, 0 to be done", runExperiment(original));

    ModifiedBuild modified = ModifiedBuild.copyTo(directory.resolve("modified"));
    modified.replaceInSource(
        "fawndock/policy/quota/OverQuotaRule.java",
        "quota.limitUnits()",
        "(2 * quota.limitUnits())");
    Run afterChange = runExperiment(modified);
    assertPrints("2 runs, 2 to be done", afterChange);
    assertPrints("BROKEN: use at most 1.2", afterChange);
    assertEquals(1, afterChange.exitCode());
  }
}
