package fawndock;

import fawndock.simulatoradapter.SimulatorAdapter;
import java.io.IOException;

/**
 * Entry point of the program. {@code benchlink} and {@code platform} start without {@link
 * fawndock.cli.Commands}, because loading all commands takes a fifth of the start time.
 */
public final class Main {
  private Main() {}

  /** Runs the named subcommand. */
  public static void main(String[] args) throws IOException {
    if (args.length == 1 && args[0].equals("benchlink")) {
      System.exit(new SimulatorAdapter().run(System.in, System.out, System.err));
    }
    if (args.length == 1 && args[0].equals("platform")) {
      System.exit(fawndock.cli.PlatformCommand.run());
    }
    int code = fawndock.cli.Commands.run(args);
    if (code >= 0) {
      System.exit(code);
    }
  }
}
