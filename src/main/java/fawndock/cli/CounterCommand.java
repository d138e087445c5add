package fawndock.cli;

import fawndock.counter.CounterServer;
import fawndock.counter.FileStorage;
import fawndock.settings.ConfigurationException;
import fawndock.settings.CounterSettings;
import fawndock.settings.CounterSettingsFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code fawndock counter -c FILE}: the counter service in the foreground, until SIGTERM or SIGINT.
 */
@Command(
    name = "counter",
    mixinStandardHelpOptions = true,
    description = "Runs the counter service in the foreground.",
    subcommands = {CounterCommand.Status.class, NodesCommand.class},
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "1:could not start, such as on a damaged log",
      "2:mistakes in the settings",
      "143:stopped by SIGTERM after committing what was taken"
    })
final class CounterCommand implements Callable<Integer> {
  @Option(
      names = {"-c", "--config"},
      paramLabel = "FILE",
      description = "the settings")
  private Path file;

  @picocli.CommandLine.Spec private picocli.CommandLine.Model.CommandSpec spec;

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
    Logs.to(settings.log());
    try {
      FileStorage disk = new FileStorage(settings.directory(), true);
      CounterServer server = new CounterServer(settings, disk);
      ProgressBar bar = new ProgressBar("recovering", size(settings.directory()), System.err);
      int port = server.start(bar::at);
      bar.end();
      Runtime.getRuntime()
          .addShutdownHook(
              new Thread(
                  () -> {
                    server.stop();
                    Logs.flush();
                  },
                  "stop"));
      System.out.println("fawndock counter listens on " + settings.listen().host() + ":" + port);
      return Commands.STAYS;
    } catch (IOException e) {
      LoggerFactory.getLogger("fawndock").error("cannot start: {}", e.getMessage());
      Logs.flush();
      return 1;
    }
  }

  private static long size(Path directory) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      long all = 0;
      for (Path each : files.toList()) {
        all += Files.size(each);
      }
      return all;
    }
  }

  /**
   * {@code fawndock counter status HOST:PORT ...}: what each node says of itself and of the others.
   */
  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "Tells each node's state, epoch, and what it has yet to tell the others.",
      exitCodeListHeading = "Exit codes:%n",
      exitCodeList = {"0:all answer gatekeepers", "1:some do not"})
  static final class Status implements Callable<Integer> {
    @picocli.CommandLine.Parameters(arity = "1..*", paramLabel = "HOST:PORT")
    private java.util.List<String> nodes;

    @Override
    public Integer call() {
      boolean all = true;
      for (String each : nodes) {
        try (fawndock.scenario.CounterClient caller = new fawndock.scenario.CounterClient(each)) {
          Object told = caller.call("FD.STATUS");
          if (told instanceof java.util.List<?> lines) {
            lines.forEach(
                line -> System.out.println(lines.get(0) == line ? each + ": " + line : line));
            all &= String.valueOf(lines.get(0)).endsWith(" ready");
          } else {
            System.out.println(each + ": " + told);
            all = false;
          }
        } catch (IOException | IllegalArgumentException e) {
          System.out.println(each + ": " + e.getMessage());
          all = false;
        }
      }
      return all ? 0 : 1;
    }
  }
}
