package fawndock.cli;

import fawndock.counter.FileStorage;
import fawndock.counter.storage.ChangeRecord;
import fawndock.counter.storage.DecimalAmount;
import fawndock.counter.storage.FileState;
import fawndock.counter.storage.LogVerifier;
import fawndock.counter.storage.LogVerifier.FileReport;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code fawndock counter-log}: verifies, dumps and truncates the log of a counter node. */
@Command(
    name = "counter-log",
    mixinStandardHelpOptions = true,
    description = "Inspects and repairs the log of a counter node.",
    subcommands = {
      CounterLogCommand.Verify.class,
      CounterLogCommand.Dump.class,
      CounterLogCommand.Truncate.class
    })
final class CounterLogCommand extends CommandGroup {
  private static boolean isDirectory(Path directory) {
    if (!Files.isDirectory(directory)) {
      System.err.println(directory + ": not a directory, expected the counter's directory");
      return false;
    }
    return true;
  }

  /** Prints the state of every file of a log. */
  @Command(
      name = "verify",
      mixinStandardHelpOptions = true,
      description =
          "Checks every record. Changes nothing and is safe while a counter runs on the directory.",
      exitCodeListHeading = "Exit codes:%n",
      exitCodeList = {
        "0:a counter can start on the log",
        "1:damaged: a counter refuses to start on it"
      })
  static final class Verify implements Callable<Integer> {
    @Parameters(paramLabel = "DIRECTORY")
    private Path directory;

    @Override
    public Integer call() throws IOException {
      if (!isDirectory(directory)) {
        return 2;
      }
      List<FileReport> reports = LogVerifier.verify(new FileStorage(directory, false));
      reports.forEach(report -> System.out.println(report.describe()));
      boolean isDamaged = reports.stream().anyMatch(report -> report.state() == FileState.DAMAGED);
      System.out.println(
          isDamaged
              ? "damaged: a counter does not start on it; see counter-log truncate"
              : "a counter starts on it");
      return isDamaged ? 1 : 0;
    }
  }

  /** Prints every change in a segment or snapshot, one per line. */
  @Command(
      name = "dump",
      mixinStandardHelpOptions = true,
      description = "Prints the changes in the records of a file.")
  static final class Dump implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "a segment or a snapshot")
    private Path file;

    @Option(
        names = "--from",
        paramLabel = "RECORD",
        defaultValue = "0",
        description = "number of the first record to print")
    private long fromSequence;

    @Override
    public Integer call() throws IOException {
      if (!Files.isRegularFile(file)) {
        System.err.println(file + ": not a file, expected a segment or a snapshot");
        return 2;
      }
      Path directory = file.toAbsolutePath().getParent();
      String problem =
          LogVerifier.dump(
              new FileStorage(directory, false),
              file.getFileName().toString(),
              fromSequence,
              (sequence, timeMillis) ->
                  System.out.println(
                      "record " + sequence + " at " + Instant.ofEpochMilli(timeMillis)),
              new ChangePrinter());
      if (!problem.isEmpty()) {
        System.err.println(file + ": " + problem);
      }
      return problem.isEmpty() ? 0 : 1;
    }
  }

  private static final class ChangePrinter implements ChangeRecord.Visitor {
    @Override
    public void onAmount(byte[] name, DecimalAmount amount, long expiryMillis) {
      System.out.println(
          "  set "
              + printable(name)
              + " "
              + amount
              + (expiryMillis == 0 ? "" : " until " + Instant.ofEpochMilli(expiryMillis)));
    }

    @Override
    public void onDeleted(byte[] name) {
      System.out.println("  delete " + printable(name));
    }

    @Override
    public void onSnapshotEnd(long names) {
      System.out.println("  end of a snapshot of " + names + " names");
    }

    /**
     * Decodes a name, which may be any bytes, with control characters replaced for the terminal.
     */
    private static String printable(byte[] name) {
      return new String(name, StandardCharsets.UTF_8).replaceAll("\\p{Cntrl}", "?");
    }
  }

  /** Truncates a log before its first damaged record. */
  @Command(
      name = "truncate",
      mixinStandardHelpOptions = true,
      description = {
        "Truncates a damaged log before its first damaged record, so that a counter can start on it.",
        "The removed bytes are kept beside the log in files that end in .cut; the counter loses the counts in them."
      })
  static final class Truncate implements Callable<Integer> {
    @Parameters(paramLabel = "DIRECTORY")
    private Path directory;

    @Option(
        names = "--yes",
        description = "truncates the log; without this option the steps are only printed")
    private boolean isConfirmed;

    @Override
    public Integer call() throws IOException {
      if (!isDirectory(directory)) {
        return 2;
      }
      try (FileStorage storage = new FileStorage(directory, true)) {
        List<String> steps = LogVerifier.truncate(storage, isConfirmed);
        steps.forEach(System.out::println);
        System.out.println(
            steps.isEmpty()
                ? "nothing is damaged, nothing was done"
                : isConfirmed ? "done" : "nothing was done; --yes does it");
        return 0;
      }
    }
  }
}
