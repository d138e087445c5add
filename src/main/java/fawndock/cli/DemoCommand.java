package fawndock.cli;

import fawndock.scenario.DemoScenario;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code fawndock demo}: runs a whole deployment on loopback, with customers above their quotas,
 * and prints a live summary.
 */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description = "Runs a whole deployment on loopback, with a live summary.")
final class DemoCommand implements Callable<Integer> {
  @Option(
      names = "--seconds",
      defaultValue = "20",
      description = "duration in seconds, default ${DEFAULT-VALUE}")
  private int seconds;

  @Override
  public Integer call() throws Exception {
    if (seconds < 1 || seconds > 3_600) {
      System.err.println("--seconds must be from 1 to 3600");
      return 2;
    }
    LogConfigurator.configureForTool();
    return new DemoScenario(System.out).run(seconds) ? 0 : 1;
  }
}
