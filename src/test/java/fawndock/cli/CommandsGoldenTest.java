package fawndock.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import picocli.CommandLine.Model.OptionSpec;

/** Compares the commands, their options and their documented exit codes with a golden list. */
class CommandsGoldenTest {
  private static final String GOLDEN =
      """
      fawndock [-V/--version, -h/--help] exits []
      fawndock run [-V/--version, -c/--config, -h/--help] exits [1, 2, 143]
      fawndock platform [-V/--version, -h/--help] exits [0, 1, 2]
      fawndock check [-V/--version, -h/--help] exits [0, 2]
      fawndock demo [--seconds, -V/--version, -h/--help] exits []
      fawndock drill [-V/--version, -h/--help] exits []
      fawndock drill bad-day [--seed, -V/--version, -h/--help] exits []
      fawndock drill day [--seed, -V/--version, -h/--help] exits []
      fawndock drill chaos [--nodes, --seconds, --seed, -V/--version, -h/--help] exits []
      fawndock drill counter-crash [--kills, --seed, -V/--version, -h/--help] exits []
      fawndock drill counter-split [--nodes, --only, --seconds, --seed, -V/--version, -h/--help] exits []
      fawndock drill large-fleet [--seconds, --seed, -V/--version, -h/--help] exits []
      fawndock drill platform [--requests, -V/--version, -h/--help] exits []
      fawndock bench [-V/--version, -h/--help] exits []
      fawndock bench passthrough [--no-counter, --seconds, --turns, -V/--version, -h/--help] exits []
      fawndock bench counter [--fleet, --names, --seconds, --turns, -V/--version, -h/--help] exits []
      fawndock bench bare-proxy [] exits []
      fawndock counter [-V/--version, -c/--config, -h/--help] exits [1, 2, 143]
      fawndock counter status [-V/--version, -h/--help] exits [0, 1]
      fawndock counter nodes [--seconds, -V/--version, -h/--help] exits [0, 1]
      fawndock counter-log [-V/--version, -h/--help] exits []
      fawndock counter-log verify [-V/--version, -h/--help] exits [0, 1]
      fawndock counter-log dump [--from, -V/--version, -h/--help] exits []
      fawndock counter-log truncate [--yes, -V/--version, -h/--help] exits []
      fawndock load [--hdr, --json, --quiet, -V/--version, -h/--help] exits [0, 1, 2, 3]
      fawndock emulate [--describe, --set, --sockets, -V/--version, -h/--help] exits [0, 1, 2]
      fawndock experiment [--jobs, --out, --quiet, -V/--version, -h/--help] exits [0, 1, 2]
      fawndock report [--before, -V/--version, -h/--help] exits []
      """;

  @TempDir Path directory;

  private static void describe(CommandLine command, String path, List<String> lines) {
    List<String> options = new ArrayList<>();
    for (OptionSpec option : command.getCommandSpec().options()) {
      options.add(String.join("/", option.names()));
    }
    options.sort(null);
    lines.add(
        path
            + " "
            + options
            + " exits "
            + command.getCommandSpec().usageMessage().exitCodeList().keySet());
    command
        .getSubcommands()
        .forEach((name, subcommand) -> describe(subcommand, path + " " + name, lines));
  }

  @Test
  void commandsOptionsAndExitCodes_matchTheGoldenList() throws Exception {
    List<String> lines = new ArrayList<>();
    describe(new CommandLine(new Commands()), "fawndock", lines);
    assertEquals(GOLDEN, String.join("\n", lines) + "\n");
  }

  private String writeFile(String name, String text) throws Exception {
    return Files.writeString(directory.resolve(name), text).toString();
  }

  @Test
  void exitCodes_ofCommandsThatEndAtOnce_matchTheManual() throws Exception {
    String good =
        writeFile(
            "good.conf",
            "listen 127.0.0.1:0\nclass c aim 1s deadline 2s\nroute * / c\nserver w 127.0.0.1:1\n");
    String bad = writeFile("bad.conf", "lisden 127.0.0.1:0\n");
    Object[][] expectedCodesAndArguments = {
      {0, "--help"},
      {0, "--version"},
      {2},
      {2, "nonsense"},
      {0, "check", good},
      {2, "check", bad},
      {2, "check"},
      {2, "run"},
      {2, "run", "-c", bad},
      {2, "counter"},
      {2, "counter", "-c", bad},
      {1, "counter", "status", "127.0.0.1:1"},
      {2, "counter", "status"},
      {2, "demo", "--seconds", "0"},
      {2, "demo", "--seconds", "3601"},
      {2, "drill"},
      {2, "bench"},
      {2, "emulate", bad},
      {2, "experiment", bad},
      {2, "load", bad},
    };
    for (Object[] row : expectedCodesAndArguments) {
      String[] args = Arrays.copyOfRange(row, 1, row.length, String[].class);
      assertEquals(row[0], Commands.run(args), "fawndock " + String.join(" ", args));
    }
  }
}
