package fawndock.cli;

import fawndock.platform.PlatformProcess;
import fawndock.policy.DefaultGatewayPolicy;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** {@code fawndock platform}: one gateway instance on the platform, configured by RELAY_CONFIG. */
@Command(
    name = "platform",
    mixinStandardHelpOptions = true,
    description =
        "Runs one gateway on the platform, as RELAY_CONFIG says. SIGHUP reads it again, SIGTERM stops.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:stopped by SIGTERM after answering all requests",
      "1:could not listen",
      "2:unusable configuration"
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
      // Not interrupted again: the log is still to be flushed, and the process ends after it.
      return PlatformProcess.EXIT_CANNOT_LISTEN;
    } finally {
      PlainLog.flush();
    }
  }
}
