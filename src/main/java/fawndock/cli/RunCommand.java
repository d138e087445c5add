package fawndock.cli;

import fawndock.gateway.GatewayServer;
import fawndock.policy.DefaultGatewayPolicy;
import fawndock.ratelimit.RateLimitService;
import fawndock.settings.ConfigurationException;
import fawndock.settings.GatewaySettings;
import fawndock.settings.GatewaySettingsFile;
import io.vertx.core.Future;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code fawndock run -c FILE}: runs the gateway in the foreground until SIGTERM or SIGINT. */
@Command(
    name = "run",
    mixinStandardHelpOptions = true,
    description = "Runs the gateway in the foreground.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "1:could not listen",
      "2:errors in the settings",
      "143:stopped by SIGTERM after the requests in flight were answered"
    })
final class RunCommand implements Callable<Integer> {
  private static final long START_TIMEOUT_SECONDS = 30;

  @Option(
      names = {"-c", "--config"},
      required = true,
      paramLabel = "FILE",
      description = "the settings file")
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
    LogConfigurator.configure(settings.log());
    GatewayServer server = new GatewayServer(settings);
    try {
      int port = start(server, settings);
      System.out.println("fawndock listens on " + settings.listen().host() + ":" + port);
    } catch (ExecutionException | TimeoutException e) {
      LoggerFactory.getLogger("fawndock").error("cannot start: {}", String.valueOf(e.getCause()));
      stop(server);
      return 1;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server), "stop"));
    return Commands.KEEPS_RUNNING;
  }

  /** Starts the rate limit service, if it is configured, then the gateway. Returns its port. */
  private static int start(GatewayServer server, GatewaySettings settings)
      throws InterruptedException, ExecutionException, TimeoutException {
    if (settings.rateLimit().listen() != null) {
      await(server.deployVerticle(new RateLimitService(settings, DefaultGatewayPolicy::new)));
    }
    return await(server.start());
  }

  private static <T> T await(Future<T> future)
      throws InterruptedException, ExecutionException, TimeoutException {
    return future
        .toCompletionStage()
        .toCompletableFuture()
        .get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private static void stop(GatewayServer server) {
    server.stopAndWait();
    LogConfigurator.flush();
  }
}
