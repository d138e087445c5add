package fawndock.cli;

import fawndock.platform.PlatformProcess;
import fawndock.policy.DefaultGatewayPolicy;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/**
 * {@code fawndock platform}: one gatekeeper on the operators' platform, told all by RELAY_CONFIG.
 */
@Command(
    name = "platform",
    mixinStandardHelpOptions = true,
    description =
        "Runs one gatekeeper on the platform, as RELAY_CONFIG says. SIGHUP reads it anew, SIGTERM stops.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:stopped by SIGTERM after answering what was open",
      "1:could not listen",
      "2:a configuration that cannot be used"
    })
public final class PlatformCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    return run();
  }

  /** Serves until it is told to stop; returns the exit code. */
  public static int run() {
    PlainLog.use();
    PlatformProcess daemon = new PlatformProcess(System.getenv());
    try {
      return daemon.run(DefaultGatewayPolicy::new);
    } catch (InterruptedException e) {
      return 1;
    } finally {
      PlainLog.flush();
    }
  }
}
