package fawndock.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.counter.EarlierVersionFiles;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** Compares the output and exit codes of {@code counter-log} with those of an earlier version. */
class CounterLogCommandTest {
  private static final String SEGMENT = "segment-00000000000000000029.log";
  @TempDir private Path directory;

  private record Run(int exitCode, List<String> lines) {}

  private static Run run(String... arguments) {
    PrintStream originalOut = System.out;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
    try {
      int exitCode = new CommandLine(new CounterLogCommand()).execute(arguments);
      return new Run(exitCode, output.toString(StandardCharsets.UTF_8).lines().toList());
    } finally {
      System.setOut(originalOut);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"first-start", "restarted", "fleet-n0", "fleet-n1", "fleet-n2"})
  void dump_ofStoredFiles_printsTheSameLines(String version) throws IOException {
    for (String file : EarlierVersionFiles.storedFiles(version)) {
      Run run = run("dump", EarlierVersionFiles.path(version).resolve(file).toString());
      assertEquals(EarlierVersionFiles.lines(version + "/" + file + ".dump"), run.lines());
      assertEquals(0, run.exitCode());
    }
  }

  @Test
  void dump_fromARecord_printsThatRecordAndLaterOnes() throws IOException {
    Run run =
        run(
            "dump",
            "--from",
            "33",
            EarlierVersionFiles.path("restarted").resolve(SEGMENT).toString());
    List<String> all = EarlierVersionFiles.lines("restarted/" + SEGMENT + ".dump");
    assertEquals(all.subList(all.size() - 4, all.size()), run.lines());
  }

  @ParameterizedTest
  @ValueSource(strings = {"first-start", "restarted", "fleet-n0", "fleet-n1", "fleet-n2"})
  void verify_ofStoredFiles_printsTheSameLines(String version) throws IOException {
    Run run = run("verify", EarlierVersionFiles.path(version).toString());
    assertEquals(EarlierVersionFiles.lines(version + "/verify.txt"), run.lines());
    assertEquals(0, run.exitCode());
  }

  @Test
  void damagedLog_isReportedByVerifyAndTruncatedOnlyWhenConfirmed() throws IOException {
    EarlierVersionFiles.copyTo("restarted", directory);
    Path segment = directory.resolve(SEGMENT);
    byte[] bytes = Files.readAllBytes(segment);
    bytes[16 + 30] ^= 1; // Flips a bit in the body of the first record.
    Files.write(segment, bytes);
    List<String> verifyLines =
        new ArrayList<>(
            List.of(
                "snapshot-00000000000000000028.snap: whole, records 1 to 2, 1403 bytes",
                SEGMENT + ": damaged, no records, 306 bytes, damaged record 29 at offset 16",
                "damaged: a counter does not start on it; see counter-log truncate"));
    assertEquals(new Run(1, verifyLines), run("verify", directory.toString()));
    String truncation = SEGMENT + ": cut from 306 to 16 bytes, after record 28";
    assertEquals(
        new Run(0, List.of(truncation, "nothing was done; --yes does it")),
        run("truncate", directory.toString()));
    assertEquals(306, Files.size(segment));
    assertEquals(
        new Run(0, List.of(truncation, "done")), run("truncate", "--yes", directory.toString()));
    assertEquals(16, Files.size(segment));
    assertTrue(
        Arrays.equals(
            Arrays.copyOfRange(bytes, 16, bytes.length),
            Files.readAllBytes(directory.resolve(SEGMENT + ".cut"))),
        "the removed bytes are kept in the .cut file");
    assertEquals(
        new Run(0, List.of("nothing is damaged, nothing was done")),
        run("truncate", directory.toString()));
    assertFalse(run("verify", directory.toString()).lines().contains(verifyLines.get(2)));
  }
}
