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

/** {@code fawndock drill NAME}: faults on loopback, checked by what crossed the sockets. */
@Command(
    name = "drill",
    mixinStandardHelpOptions = true,
    description = "Plays faults on loopback and checks the five rules.",
    subcommands = {
      DrillCommand.BadDayDrill.class,
      DrillCommand.Day.class,
      DrillCommand.ChaosDrill.class,
      DrillCommand.CounterCrashDrill.class,
      DrillCommand.CounterSplitDrill.class,
      DrillCommand.LargeFleetDrill.class,
      DrillCommand.PlatformDrill.class
    })
final class DrillCommand extends CommandGroup {
  /** Three gateways through overlapping faults. */
  @Command(
      name = "bad-day",
      mixinStandardHelpOptions = true,
      description = "Three gateways through overlapping faults, in under 40 s.")
  static final class BadDayDrill implements Callable<Integer> {
    @picocli.CommandLine.Option(
        names = "--seed",
        defaultValue = "1",
        description = "of the traffic and faults")
    private long seed;

    @Override
    public Integer call() throws Exception {
      LogConfigurator.configureForTool();
      return new BadDayScenario(seed, System.out).run() ? 0 : 1;
    }
  }

  /** A day that lbsim drew. */
  @Command(
      name = "day",
      mixinStandardHelpOptions = true,
      description = "Plays the faults of a day file of lbsim draw, scaled to loopback.")
  static final class Day implements Callable<Integer> {
    @picocli.CommandLine.Parameters(paramLabel = "FILE", description = "the day file")
    private java.nio.file.Path file;

    @picocli.CommandLine.Option(
        names = "--seed",
        defaultValue = "1",
        description = "of the customers' demand")
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

  /** Faults at random. */
  @Command(
      name = "chaos",
      mixinStandardHelpOptions = true,
      description = "Random faults, among them killed gateways.")
  static final class ChaosDrill implements Callable<Integer> {
    @picocli.CommandLine.Option(
        names = "--seconds",
        defaultValue = "60",
        description = "from 10 to 900")
    private int seconds;

    @picocli.CommandLine.Option(
        names = "--nodes",
        defaultValue = "1",
        description = "counter nodes, 1 or 3")
    private int nodes;

    @picocli.CommandLine.Option(names = "--seed", defaultValue = "1", description = "of the faults")
    private long seed;

    @Override
    public Integer call() throws Exception {
      if (seconds < 10 || seconds > 900 || (nodes != 1 && nodes != 3)) {
        System.err.println("--seconds is from 10 to 900, --nodes is 1 or 3");
        return 2;
      }
      LogConfigurator.configureForTool();
      return new ChaosScenario(seconds, nodes, seed, System.out).run() ? 0 : 1;
    }
  }

  /** The counter killed under load. */
  @Command(
      name = "counter-crash",
      mixinStandardHelpOptions = true,
      description =
          "Kills the counter under load and compares its totals with what it acknowledged.")
  static final class CounterCrashDrill implements Callable<Integer> {
    @picocli.CommandLine.Option(
        names = "--kills",
        defaultValue = "10",
        description = "from 1 to 10000")
    private int kills;

    @picocli.CommandLine.Option(
        names = "--seed",
        defaultValue = "1",
        description = "of the adds and the moments")
    private long seed;

    @Override
    public Integer call() throws Exception {
      if (kills < 1 || kills > 10_000) {
        System.err.println("--kills is from 1 to 10000");
        return 2;
      }
      LogConfigurator.configureForTool();
      return new CounterCrashScenario(kills, seed, System.out).run() ? 0 : 1;
    }
  }

  /** Counter nodes that are killed, stalled and partitioned. */
  @Command(
      name = "counter-split",
      mixinStandardHelpOptions = true,
      description =
          "Three counter nodes are killed, stalled, partitioned and restarted, under customers above their plans.")
  static final class CounterSplitDrill implements Callable<Integer> {
    @picocli.CommandLine.Option(
        names = "--nodes",
        defaultValue = "3",
        description = "3, or 1 to compare with")
    private int nodes;

    @picocli.CommandLine.Option(
        names = "--only",
        defaultValue = "",
        description = "breaks with this in their names")
    private String only;

    @picocli.CommandLine.Option(
        names = "--seconds",
        defaultValue = "1.6",
        description = "of a break, from 1 to 60")
    private double seconds;

    @picocli.CommandLine.Option(
        names = "--seed",
        defaultValue = "1",
        description = "of the traffic")
    private long seed;

    @Override
    public Integer call() throws Exception {
      CounterPartitionScenario drill =
          new CounterPartitionScenario(nodes, seconds, only, seed, System.out);
      if (drill.faultCount() == 0) {
        System.err.println("no break has '" + only + "' in its name");
        return 2;
      }
      if ((nodes != 1 && nodes != 3) || seconds < 1 || seconds > 60) {
        System.err.println("--nodes is 1 or 3, --seconds from 1 to 60");
        return 2;
      }
      LogConfigurator.configureForTool();
      return drill.run() ? 0 : 1;
    }
  }

  /** Many gateway instances with few requests each. */
  @Command(
      name = "large-fleet",
      mixinStandardHelpOptions = true,
      description =
          "60 gateway instances with a request a second each and three counter nodes keep quotas.")
  static final class LargeFleetDrill implements Callable<Integer> {
    @picocli.CommandLine.Option(
        names = "--seconds",
        defaultValue = "70",
        description = "from 20 to 300")
    private int seconds;

    @picocli.CommandLine.Option(
        names = "--seed",
        defaultValue = "1",
        description = "of the traffic")
    private long seed;

    @Override
    public Integer call() throws Exception {
      if (seconds < 20 || seconds > 300) {
        System.err.println("--seconds is from 20 to 300");
        return 2;
      }
      LogConfigurator.configureForTool();
      return new LargeFleetScenario(seconds, seed, System.out).run() ? 0 : 1;
    }
  }

  /** One gateway of the platform. */
  @Command(
      name = "platform",
      mixinStandardHelpOptions = true,
      description = "One gateway of the platform among fakes, in this process.")
  static final class PlatformDrill implements Callable<Integer> {
    @picocli.CommandLine.Option(
        names = "--requests",
        defaultValue = "600",
        description = "from 20 to 100000")
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
