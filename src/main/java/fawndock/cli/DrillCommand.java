package fawndock.cli;

import fawndock.scenario.BadDayScenario;
import fawndock.scenario.ChaosScenario;
import fawndock.scenario.CounterCrashScenario;
import fawndock.scenario.CounterPartitionScenario;
import fawndock.scenario.DayFile;
import fawndock.scenario.DayScenario;
import fawndock.scenario.LargeFleetScenario;
import fawndock.scenario.PlatformScenario;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/**
 * {@code fawndock drill NAME}: injects faults on loopback and checks the traffic on the sockets.
 */
@Command(
    name = "drill",
    mixinStandardHelpOptions = true,
    description = "Injects faults on loopback and checks the five rules.",
    subcommands = {
      DrillCommand.BadDayDrill.class,
      DrillCommand.DayDrill.class,
      DrillCommand.ChaosDrill.class,
      DrillCommand.CounterCrashDrill.class,
      DrillCommand.CounterSplitDrill.class,
      DrillCommand.LargeFleetDrill.class,
      DrillCommand.PlatformDrill.class
    })
final class DrillCommand extends CommandGroup {
  /** Runs three gateways through overlapping faults. */
  @Command(
      name = "bad-day",
      mixinStandardHelpOptions = true,
      description = "Runs three gateways through overlapping faults, in under 40 s.")
  static final class BadDayDrill implements Callable<Integer> {
    @picocli.CommandLine.Option(
        names = "--seed",
        defaultValue = "1",
        description = "random seed of the traffic and the faults")
    private long seed;

    @Override
    public Integer call() throws Exception {
      LogConfigurator.configureForTool();
      return new BadDayScenario(seed, System.out).run() ? 0 : 1;
    }
  }

  /** Replays a day file that {@code lbsim draw} generated. */
  @Command(
      name = "day",
      mixinStandardHelpOptions = true,
      description =
          "Injects the faults of a day file that lbsim draw generated, scaled to loopback.")
  static final class DayDrill implements Callable<Integer> {
    @picocli.CommandLine.Parameters(paramLabel = "FILE", description = "the day file")
    private java.nio.file.Path file;

    @picocli.CommandLine.Option(
        names = "--seed",
        defaultValue = "1",
        description = "random seed of the customers' demand")
    private long seed;

    @Override
    public Integer call() throws Exception {
      LogConfigurator.configureForTool();
      DayFile day;
      try {
        day = DayFile.read(file);
      } catch (java.io.IOException e) {
        System.err.println(e.getMessage());
        return 2;
      }
      return new DayScenario(day, seed, System.out).run() ? 0 : 1;
    }
  }

  /** Injects random faults. */
  @Command(
      name = "chaos",
      mixinStandardHelpOptions = true,
      description = "Injects random faults, including killed gateways.")
  static final class ChaosDrill implements Callable<Integer> {
    @picocli.CommandLine.Option(
        names = "--seconds",
        defaultValue = "60",
        description = "duration in seconds, from 10 to 900")
    private int seconds;

    @picocli.CommandLine.Option(
        names = "--nodes",
        defaultValue = "1",
        description = "number of counter nodes, 1 or 3")
    private int nodes;

    @picocli.CommandLine.Option(
        names = "--seed",
        defaultValue = "1",
        description = "random seed of the faults")
    private long seed;

    @Override
    public Integer call() throws Exception {
      if (seconds < 10 || seconds > 900 || (nodes != 1 && nodes != 3)) {
        System.err.println("--seconds must be from 10 to 900, --nodes must be 1 or 3");
        return 2;
      }
      LogConfigurator.configureForTool();
      return new ChaosScenario(seconds, nodes, seed, System.out).run() ? 0 : 1;
    }
  }

  /** Kills the counter under load and checks its totals. */
  @Command(
      name = "counter-crash",
      mixinStandardHelpOptions = true,
      description =
          "Kills the counter under load and compares its totals with what it acknowledged.")
  static final class CounterCrashDrill implements Callable<Integer> {
    @picocli.CommandLine.Option(
        names = "--kills",
        defaultValue = "10",
        description = "how often the counter is killed, from 1 to 10000")
    private int kills;

    @picocli.CommandLine.Option(
        names = "--seed",
        defaultValue = "1",
        description = "random seed of the additions and of the times of the kills")
    private long seed;

    @Override
    public Integer call() throws Exception {
      if (kills < 1 || kills > 10_000) {
        System.err.println("--kills must be from 1 to 10000");
        return 2;
      }
      LogConfigurator.configureForTool();
      return new CounterCrashScenario(kills, seed, System.out).run() ? 0 : 1;
    }
  }

  /** Kills, stalls, partitions and restarts counter nodes. */
  @Command(
      name = "counter-split",
      mixinStandardHelpOptions = true,
      description =
          "Kills, stalls, partitions and restarts three counter nodes, with customers above their plans.")
  static final class CounterSplitDrill implements Callable<Integer> {
    @picocli.CommandLine.Option(
        names = "--nodes",
        defaultValue = "3",
        description = "number of counter nodes, 3, or 1 for comparison")
    private int nodes;

    @picocli.CommandLine.Option(
        names = "--only",
        defaultValue = "",
        description = "runs only the faults whose names contain this text")
    private String only;

    @picocli.CommandLine.Option(
        names = "--seconds",
        defaultValue = "1.6",
        description = "duration of a fault in seconds, from 1 to 60")
    private double seconds;

    @picocli.CommandLine.Option(
        names = "--seed",
        defaultValue = "1",
        description = "random seed of the traffic")
    private long seed;

    @Override
    public Integer call() throws Exception {
      CounterPartitionScenario scenario =
          new CounterPartitionScenario(nodes, seconds, only, seed, System.out);
      if (scenario.faultCount() == 0) {
        System.err.println("no fault has '" + only + "' in its name");
        return 2;
      }
      if ((nodes != 1 && nodes != 3) || seconds < 1 || seconds > 60) {
        System.err.println("--nodes must be 1 or 3, --seconds must be from 1 to 60");
        return 2;
      }
      LogConfigurator.configureForTool();
      return scenario.run() ? 0 : 1;
    }
  }

  /** Runs many gateway instances with few requests each. */
  @Command(
      name = "large-fleet",
      mixinStandardHelpOptions = true,
      description =
          "Checks the quotas of 60 gateway instances with one request per second each and three counter nodes.")
  static final class LargeFleetDrill implements Callable<Integer> {
    @picocli.CommandLine.Option(
        names = "--seconds",
        defaultValue = "70",
        description = "duration in seconds, from 20 to 300")
    private int seconds;

    @picocli.CommandLine.Option(
        names = "--seed",
        defaultValue = "1",
        description = "random seed of the traffic")
    private long seed;

    @Override
    public Integer call() throws Exception {
      if (seconds < 20 || seconds > 300) {
        System.err.println("--seconds must be from 20 to 300");
        return 2;
      }
      LogConfigurator.configureForTool();
      return new LargeFleetScenario(seconds, seed, System.out).run() ? 0 : 1;
    }
  }

  /** Runs one gateway as on the platform. */
  @Command(
      name = "platform",
      mixinStandardHelpOptions = true,
      description =
          "Runs one gateway as on the platform, with fake peers and backends, in this process.")
  static final class PlatformDrill implements Callable<Integer> {
    @picocli.CommandLine.Option(
        names = "--requests",
        defaultValue = "600",
        description = "number of requests, from 20 to 100000")
    private int requests;

    @Override
    public Integer call() throws Exception {
      PlainLog.install();
      return new PlatformScenario(Math.max(20, Math.min(100_000, requests)), System.out).run()
          ? 0
          : 1;
    }
  }
}
