package fawndock.cli;

import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The root command, which lists and runs the program's commands. */
@Command(
    name = "fawndock",
    mixinStandardHelpOptions = true,
    version = "fawndock 0.2.0",
    description =
        "An API gateway that keeps each customer of a shared back end to its quota, across a fleet.",
    synopsisSubcommandLabel = "COMMAND",
    footer =
        "benchlink takes no options and speaks the simulator's protocol on standard input and output.",
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
  /** Result of a command whose threads keep the process running after the call returns. */
  static final int KEEPS_RUNNING = -1;

  /**
   * Runs a command line. Returns the exit code, or a negative number when the process keeps
   * running.
   */
  public static int run(String[] args) {
    return new CommandLine(new Commands())
        .setExecutionExceptionHandler(
            (exception, command, parseResult) -> {
              if (!(exception instanceof IOException)) {
                throw exception;
              }
              System.err.println("fawndock: " + exception.getMessage());
              return 1;
            })
        .execute(args);
  }
}
