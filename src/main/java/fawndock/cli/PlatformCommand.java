package fawndock.cli;

import fawndock.platform.PlatformProcess;
import fawndock.policy.DefaultGatewayPolicy;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/**
 * {@code fawndock platform}: runs one gateway instance on the platform, configured by RELAY_CONFIG.
 */
@Command(
    name = "platform",
    mixinStandardHelpOptions = true,
    description =
        "Runs one gateway on the platform, configured by RELAY_CONFIG. SIGHUP reloads it, SIGTERM stops.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:stopped by SIGTERM after answering all requests",
      "1:could not listen",
      "2:invalid configuration"
    })
public final class PlatformCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    return run();
  }

  /** Serves until the process is stopped; returns the exit code. */
  public static int run() {
    PlainLog.install();
    PlatformProcess process = new PlatformProcess(System.getenv());
    try {
      return process.run(DefaultGatewayPolicy::new);
    } catch (InterruptedException e) {
      // The interrupt flag stays cleared, so that the log can be flushed before the process ends.
      return PlatformProcess.EXIT_CANNOT_LISTEN;
    } finally {
      PlainLog.flush();
    }
  }
}
