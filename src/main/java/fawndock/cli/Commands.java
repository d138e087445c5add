package fawndock.cli;

import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The program's commands, and the root command that lists them. */
@Command(
    name = "fawndock",
    mixinStandardHelpOptions = true,
    version = "fawndock 0.2.0",
    description =
        "An API gateway that holds the quotas of each customer of a shared back end, across a fleet.",
    synopsisSubcommandLabel = "COMMAND",
    footer =
        "benchlink, without options, speaks the simulator's protocol on standard input and output.",
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
public final class Commands extends CommandGroup {
  /** Returned by a command whose threads keep running after its call. */
  static final int KEEPS_RUNNING = -1;

  /**
   * Runs a command line; returns the exit code, or a negative number when the process keeps
   * running.
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
