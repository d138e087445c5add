package fawndock;

import fawndock.simulatoradapter.SimulatorAdapter;
import java.io.IOException;

/**
 * The way in. {@code benchlink} speaks the simulator's wire on standard input and output and loads
 * nothing of the daemon; every other command is {@link fawndock.cli.CommandHandler}'.
 */
public final class Main {
  private Main() {}

  /** Runs the named subcommand. */
  public static void main(String[] args) throws IOException {
    if (args.length == 1 && args[0].equals("benchlink")) {
      System.exit(new SimulatorAdapter().run(System.in, System.out, System.err));
    }
    if (args.length == 1 && args[0].equals("platform")) {
      System.exit(
          fawndock.cli.PlatformCommand
              .run()); // Without the other commands: they cost a fifth of a start.
    }
    int code = fawndock.cli.Commands.run(args);
    if (code >= 0) {
      System.exit(code);
    }
  }
}
