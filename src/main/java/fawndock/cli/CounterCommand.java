package fawndock.cli;

import fawndock.counter.CounterServer;
import fawndock.counter.FileStorage;
import fawndock.counter.config.CounterSettings;
import fawndock.counter.config.CounterSettingsFile;
import fawndock.scenario.CounterClient;
import fawndock.settings.ConfigurationException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * {@code fawndock counter -c FILE}: runs the counter service in the foreground until SIGTERM or
 * SIGINT.
 */
@Command(
    name = "counter",
    mixinStandardHelpOptions = true,
    description = "Runs the counter service in the foreground.",
    subcommands = {CounterCommand.Status.class, NodesCommand.class},
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "1:could not start, for example because of a damaged log",
      "2:errors in the settings",
      "143:stopped by SIGTERM after accepted commands were committed"
    })
final class CounterCommand implements Callable<Integer> {
  @Option(
      names = {"-c", "--config"},
      paramLabel = "FILE",
      description = "the settings file")
  private Path file;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    if (file == null) {
      System.err.println("Missing required option: '--config=FILE'");
      spec.commandLine().usage(System.err);
      return 2;
    }
    CounterSettings settings;
    try {
      settings = CounterSettingsFile.read(file);
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 2;
    }
    LogConfigurator.configure(settings.logSettings());
    try {
      FileStorage storage = new FileStorage(settings.directory(), true);
      CounterServer server = new CounterServer(settings, storage);
      ProgressBar progressBar =
          new ProgressBar("recovering", totalBytes(settings.directory()), System.err);
      int port = server.start(progressBar::update);
      progressBar.finish();
      Runtime.getRuntime()
          .addShutdownHook(
              new Thread(
                  () -> {
                    server.close();
                    LogConfigurator.flush();
                  },
                  "stop"));
      System.out.println("fawndock counter listens on " + settings.listen().host() + ":" + port);
      return Commands.KEEPS_RUNNING;
    } catch (IOException e) {
      LoggerFactory.getLogger("fawndock").error("cannot start: {}", e.getMessage());
      LogConfigurator.flush();
      return 1;
    }
  }

  private static long totalBytes(Path directory) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      long total = 0;
      for (Path file : files.toList()) {
        total += Files.size(file);
      }
      return total;
    }
  }

  /**
   * {@code fawndock counter status HOST:PORT ...}: prints the state of each node and its view of
   * its peers.
   */
  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description =
          "Prints each node's state and epoch, and how much it still has to replicate to its peers.",
      exitCodeListHeading = "Exit codes:%n",
      exitCodeList = {"0:all nodes are ready", "1:some nodes are not ready"})
  static final class Status implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "HOST:PORT")
    private List<String> nodes;

    @Override
    public Integer call() {
      boolean isAllReady = true;
      for (String node : nodes) {
        try (CounterClient client = new CounterClient(node)) {
          Object reply = client.call("FD.STATUS");
          if (reply instanceof List<?> lines) {
            lines.forEach(
                line -> System.out.println(lines.get(0) == line ? node + ": " + line : line));
            isAllReady &= String.valueOf(lines.get(0)).endsWith(" ready");
          } else {
            System.out.println(node + ": " + reply);
            isAllReady = false;
          }
        } catch (IOException | IllegalArgumentException e) {
          System.out.println(node + ": " + e.getMessage());
          isAllReady = false;
        }
      }
      return isAllReady ? 0 : 1;
    }
  }
}
