package fawndock.cli;

import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The program's commands. */
@Command(
    name = "fawndock",
    mixinStandardHelpOptions = true,
    version = "fawndock 0.2.0",
    description =
        "An API gateway that keeps each customer of a shared back end to its plan, across a fleet.",
    synopsisSubcommandLabel = "COMMAND",
    footer = "benchlink, without options, speaks the bench's wire on standard input and output.",
    subcommands = {
      RunCommand.class,
      PlatformCommand.class,
      CheckCommand.class,
      DemoCommand.class,
      DrillCommand.class,
      BenchCommand.class,
      CounterCommand.class,
      CounterLogCommand.class,
      LoadCommand.class,
      EmulateCommand.class,
      ExperimentCommand.class,
      ReportCommand.class
    })
public final class Commands extends Group {
  /** Returned by a command that goes on after its call; the process stays. */
  static final int STAYS = -1;

  /**
   * Runs a command line; returns the exit code, or a number below 0 when the process is to stay.
   */
  public static int run(String[] args) {
    return new CommandLine(new Commands())
        .setExecutionExceptionHandler(
            (e, command, parsed) -> {
              if (!(e instanceof IOException)) {
                throw e;
              }
              System.err.println("fawndock: " + e.getMessage());
              return 1;
            })
        .execute(args);
  }
}
