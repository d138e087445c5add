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

/** {@code fawndock counter-log}: verifies and dumps a counter's log, and cuts a damaged one. */
@Command(
    name = "counter-log",
    mixinStandardHelpOptions = true,
    description = "Shows and mends a counter's log.",
    subcommands = {
      CounterLogCommand.Verify.class,
      CounterLogCommand.Dump.class,
      CounterLogCommand.Truncate.class
    })
final class CounterLogCommand extends CommandGroup {
  private static boolean isDirectory(Path directory) {
    if (!Files.isDirectory(directory)) {
      System.err.println(directory + ": not a directory, expected the counter's");
      return false;
    }
    return true;
  }

  /** Reports on every file. */
  @Command(
      name = "verify",
      mixinStandardHelpOptions = true,
      description = "Checks every record; changes nothing, also beside a running counter.",
      exitCodeListHeading = "Exit codes:%n",
      exitCodeList = {"0:it can be started on", "1:damaged: a counter refuses to start on it"})
  static final class Verify implements Callable<Integer> {
    @Parameters(paramLabel = "DIRECTORY")
    private Path directory;

    @Override
    public Integer call() throws IOException {
      if (!isDirectory(directory)) {
        return 2;
      }
      List<FileReport> reports = LogVerifier.verify(new FileStorage(directory, false));
      reports.forEach(each -> System.out.println(each.describe()));
      boolean isDamaged = reports.stream().anyMatch(each -> each.state() == FileState.DAMAGED);
      System.out.println(
          isDamaged
              ? "damaged: a counter does not start on it; see counter-log truncate"
              : "a counter starts on it");
      return isDamaged ? 1 : 0;
    }
  }

  /** Prints every change of a file as a line. */
  @Command(
      name = "dump",
      mixinStandardHelpOptions = true,
      description = "Prints the changes of a file's records.")
  static final class Dump implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "a segment or a snapshot")
    private Path file;

    @Option(
        names = "--from",
        paramLabel = "RECORD",
        defaultValue = "0",
        description = "the first record shown")
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
              new Printer());
      if (!problem.isEmpty()) {
        System.err.println(file + ": " + problem);
      }
      return problem.isEmpty() ? 0 : 1;
    }
  }

  private static final class Printer implements ChangeRecord.Visitor {
    @Override
    public void onAmount(byte[] name, DecimalAmount amount, long expiryMillis) {
      System.out.println(
          "  set "
              + text(name)
              + " "
              + amount
              + (expiryMillis == 0 ? "" : " until " + Instant.ofEpochMilli(expiryMillis)));
    }

    @Override
    public void onDeleted(byte[] name) {
      System.out.println("  delete " + text(name));
    }

    @Override
    public void onSnapshotEnd(long names) {
      System.out.println("  end of a snapshot of " + names + " names");
    }

    /** Names may be any bytes; a terminal gets only what is printable. */
    private static String text(byte[] name) {
      return new String(name, StandardCharsets.UTF_8).replaceAll("\\p{Cntrl}", "?");
    }
  }

  /** Cuts off what is damaged and all after it. */
  @Command(
      name = "truncate",
      mixinStandardHelpOptions = true,
      description = {
        "Cuts a damaged log before its first damaged record, so that a counter starts on it.",
        "What is cut off is kept beside it in files that end in .cut; the counts in it are lost to the counter."
      })
  static final class Truncate implements Callable<Integer> {
    @Parameters(paramLabel = "DIRECTORY")
    private Path directory;

    @Option(names = "--yes", description = "do it; without, only what would be done is told")
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
