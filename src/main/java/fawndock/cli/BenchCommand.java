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

/** {@code fawndock bench NAME}: measurements on this machine. */
@Command(
    name = "bench",
    mixinStandardHelpOptions = true,
    description = "Measures on this machine.",
    subcommands = {
      BenchCommand.PassthroughCommand.class,
      BenchCommand.Counter.class,
      BenchCommand.Proxy.class
    })
final class BenchCommand extends CommandGroup {
  /** The gateway beside a bare proxy. */
  @Command(
      name = "passthrough",
      mixinStandardHelpOptions = true,
      description = "What the gateway adds to a bare proxy, in turns.")
  static final class PassthroughCommand implements Callable<Integer> {
    @Option(names = "--seconds", defaultValue = "4", description = "of each turn")
    private double seconds;

    @Option(names = "--turns", defaultValue = "5", description = "of each measurement")
    private int turns;

    @Option(names = "--no-counter", description = "the gateway calls no counter")
    private boolean uncounted;

    @Override
    public Integer call() throws Exception {
      LogConfigurator.configureForTool();
      new PassthroughBench(seconds, turns, !uncounted, System.out).run();
      return 0;
    }
  }

  /** The counter service beside its disk. */
  @Command(
      name = "counter",
      mixinStandardHelpOptions = true,
      description = "What the counter service makes of its disk and of a core, in turns.")
  static final class Counter implements Callable<Integer> {
    @Option(names = "--seconds", defaultValue = "3", description = "of each turn")
    private double seconds;

    @Option(names = "--turns", defaultValue = "5", description = "of each measurement")
    private int turns;

    @Option(names = "--names", description = "measures instead what so many idle names cost")
    private long names;

    @Option(names = "--fleet", description = "measures instead three nodes beside one")
    private boolean fleet;

    @Override
    public Integer call() throws Exception {
      LogConfigurator.configureForTool();
      CounterBench bench = new CounterBench(seconds, turns, System.out);
      if (fleet) {
        new CounterFleetBench(seconds, turns, System.out).run();
      } else if (names > 0) {
        bench.runIdleNames(names);
      } else {
        bench.run();
      }
      return 0;
    }
  }

  /** The process that passthrough compares with. */
  @Command(name = "bare-proxy", hidden = true, description = "A reverse proxy without decisions.")
  static final class Proxy implements Callable<Integer> {
    @Parameters(paramLabel = "WORKER-PORT")
    private int worker;

    @Override
    public Integer call() throws Exception {
      LogConfigurator.configureForTool();
      System.out.println(
          new BareProxy(worker)
              .start()
              .toCompletionStage()
              .toCompletableFuture()
              .get(20, TimeUnit.SECONDS));
      return Commands.KEEPS_RUNNING;
    }
  }
}
