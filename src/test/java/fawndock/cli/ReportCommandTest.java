package fawndock.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.experiment.ModifiedBuild;
import fawndock.experiment.ResultStore;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs {@code report} on a folder that holds results of several policies. */
class ReportCommandTest {
  @TempDir private Path directory;
  private Path experimentFile;
  private Path resultsFolder;

  @BeforeEach
  void writeScenario() throws IOException {
    Files.writeString(
        directory.resolve("quota.emu"),
        """
        gatekeepers 2
        workers 8 cores 4 work 20ms
        for 5s
        class lookup aim 500ms deadline 2s repeat idempotent
        plan seat rate 5 store 5
        demand desks class lookup plan seat rate 60 customers 4 remaining 1500ms
        """);
    experimentFile = directory.resolve("quota.exp");
    resultsFolder = directory.resolve("results");
  }

  private void runExperiment(ModifiedBuild build, String seeds) throws Exception {
    Files.writeString(experimentFile, "scenario quota.emu\nseeds " + seeds + "\n");
    run(build, "experiment", experimentFile.toString(), "--out", resultsFolder.toString());
  }

  /** Writes a report and returns what it says of the number of its runs and their builds. */
  private String reportedRuns(ModifiedBuild build) throws Exception {
    run(build, "report", resultsFolder.toString());
    String page = Files.readString(resultsFolder.resolve("report.html"));
    Matcher summary = Pattern.compile("\\d+ runs, seeds \\d+, build [^.]*").matcher(page);
    assertTrue(summary.find(), page);
    return summary.group();
  }

  private static void run(ModifiedBuild build, String... arguments) throws Exception {
    Process process = build.start(arguments);
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertEquals(0, process.waitFor(), output);
  }

  private String buildOfSeed(long seed, int occurrence) throws IOException {
    return ResultStore.read(resultsFolder).stream()
        .filter(result -> result.seed() == seed)
        .toList()
        .get(occurrence)
        .build();
  }

  /** A report with results of several policies shows what none of them does. */
  @Test
  void report_folderWithResultsOfTwoPolicies_showsTheLatestExperimentOnly() throws Exception {
    ModifiedBuild original = ModifiedBuild.copyTo(directory.resolve("original"));
    ModifiedBuild modified = ModifiedBuild.copyTo(directory.resolve("modified"));
    modified.replaceInSource(
        "fawndock/policy/quota/OverQuotaRule.java",
        "quota.limitUnits()",
        "(2 * quota.limitUnits())");
    runExperiment(original, "1..3");
    runExperiment(modified, "1..2");
    String originalBuild = buildOfSeed(1, 0);
    String modifiedBuild = buildOfSeed(1, 1);

    assertEquals("2 runs, seeds 2, build " + modifiedBuild, reportedRuns(modified));

    runExperiment(original, "1..3");
    assertEquals(5, ResultStore.read(resultsFolder).size(), "no run is repeated");
    assertEquals("3 runs, seeds 3, build " + originalBuild, reportedRuns(original));
  }
}
