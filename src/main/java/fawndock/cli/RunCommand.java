package fawndock.cli;

import fawndock.gateway.GatewayServer;
import fawndock.policy.DefaultGatewayPolicy;
import fawndock.ratelimit.RateLimitService;
import fawndock.settings.ConfigurationException;
import fawndock.settings.GatewaySettings;
import fawndock.settings.GatewaySettingsFile;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code fawndock run -c FILE}: the daemon in the foreground, until SIGTERM or SIGINT. */
@Command(
    name = "run",
    mixinStandardHelpOptions = true,
    description = "Runs the gateway in the foreground.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "1:could not listen",
      "2:mistakes in the settings",
      "143:stopped by SIGTERM after answering what was open"
    })
final class RunCommand implements Callable<Integer> {
  @Option(
      names = {"-c", "--config"},
      required = true,
      paramLabel = "FILE",
      description = "the settings")
  private Path file;

  @Override
  public Integer call() throws Exception {
    GatewaySettings settings;
    try {
      settings = GatewaySettingsFile.read(file);
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 2;
    }
    Logs.to(settings.log());
    GatewayServer daemon = new GatewayServer(settings);
    try {
      if (settings.rateLimit().listen() != null) {
        daemon
            .deployBeside(new RateLimitService(settings, DefaultGatewayPolicy::new))
            .toCompletionStage()
            .toCompletableFuture()
            .get(30, TimeUnit.SECONDS);
      }
      int port = daemon.start().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
      System.out.println("fawndock listens on " + settings.listen().host() + ":" + port);
    } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
      LoggerFactory.getLogger("fawndock").error("cannot start: {}", String.valueOf(e.getCause()));
      daemon.stopAndWait();
      Logs.flush();
      return 1;
    }
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  daemon.stopAndWait();
                  Logs.flush();
                },
                "stop"));
    return Commands.STAYS;
  }
}
