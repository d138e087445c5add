package fawndock.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that only has others under it: by itself it tells how it is used. */
abstract class Group implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(System.err);
    return CommandLine.ExitCode.USAGE;
  }
}
