package fawndock.cli;

import fawndock.benchmark.BareProxy;
import fawndock.benchmark.CounterBench;
import fawndock.benchmark.CounterFleetBench;
import fawndock.benchmark.PassthroughBench;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code fawndock bench NAME}: runs a benchmark on this machine. */
@Command(
    name = "bench",
    mixinStandardHelpOptions = true,
    description = "Runs a benchmark on this machine.",
    subcommands = {
      BenchCommand.PassthroughCommand.class,
      BenchCommand.CounterBenchCommand.class,
      BenchCommand.BareProxyCommand.class
    })
final class BenchCommand extends CommandGroup {
  /** Compares the gateway with a bare reverse proxy. */
  @Command(
      name = "passthrough",
      mixinStandardHelpOptions = true,
      description = "Measures the overhead of the gateway over a bare proxy, in alternating turns.")
  static final class PassthroughCommand implements Callable<Integer> {
    @Option(names = "--seconds", defaultValue = "4", description = "of each turn")
    private double seconds;

    @Option(names = "--turns", defaultValue = "5", description = "of each measurement")
    private int turns;

    @Option(names = "--no-counter", description = "runs the gateway without a counter service")
    private boolean isCounterDisabled;

    @Override
    public Integer call() throws Exception {
      LogConfigurator.configureForTool();
      new PassthroughBench(seconds, turns, !isCounterDisabled, System.out).run();
      return 0;
    }
  }

  /** Compares the counter service with the disk that it writes to. */
  @Command(
      name = "counter",
      mixinStandardHelpOptions = true,
      description =
          "Measures the counter service against its disk and one core, in alternating turns.")
  static final class CounterBenchCommand implements Callable<Integer> {
    @Option(names = "--seconds", defaultValue = "3", description = "of each turn")
    private double seconds;

    @Option(names = "--turns", defaultValue = "5", description = "of each measurement")
    private int turns;

    @Option(names = "--names", description = "measures the cost of this many idle names instead")
    private long names;

    @Option(names = "--fleet", description = "compares three nodes with one instead")
    private boolean isFleet;

    @Override
    public Integer call() throws Exception {
      LogConfigurator.configureForTool();
      CounterBench bench = new CounterBench(seconds, turns, System.out);
      if (isFleet) {
        new CounterFleetBench(seconds, turns, System.out).run();
      } else if (names > 0) {
        bench.runIdleNames(names);
      } else {
        bench.run();
      }
      return 0;
    }
  }

  /** Runs the bare proxy, in the process that {@code passthrough} compares the gateway with. */
  @Command(
      name = "bare-proxy",
      hidden = true,
      description = "Runs a reverse proxy without admission control.")
  static final class BareProxyCommand implements Callable<Integer> {
    @Parameters(paramLabel = "WORKER-PORT")
    private int workerPort;

    @Override
    public Integer call() throws Exception {
      LogConfigurator.configureForTool();
      System.out.println(
          new BareProxy(workerPort)
              .start()
              .toCompletionStage()
              .toCompletableFuture()
              .get(20, TimeUnit.SECONDS));
      return Commands.KEEPS_RUNNING;
    }
  }
}
