package fawndock.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that only groups subcommands; without a subcommand it prints its usage. */
abstract class CommandGroup implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(System.err);
    return CommandLine.ExitCode.USAGE;
  }
}
