package fawndock.simulation;

import fawndock.settings.LineArguments;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * A {@code trouble} line of a deployment file, which describes the kind, the time and the target of
 * a fault. Immutable.
 *
 * @param gatewayCount number of affected gateways; 0 when the line gives none
 * @param counterPartition index of the affected partition; below 0 for all partitions
 * @param demand name of the affected demand; empty for all demands
 * @param fault schedules the fault in a simulation; null after an error
 */
record FaultLine(
    DeploymentFile.FaultWindow window,
    int gatewayCount,
    int counterPartition,
    int zone,
    String demand,
    Consumer<Simulation> fault) {
  private static final double SECOND_MICROS = 1e6;
  private static final long DAY_MICROS = 86_400_000_000L;

  /** The arguments of a line; each kind of fault uses some of them. */
  private record Arguments(
      double fromSecond,
      double untilSecond,
      List<String> backendIds,
      int gatewayCount,
      int counterPartition,
      int zone,
      double factor,
      double ratio,
      long clockOffsetMicros,
      int itemCount,
      boolean losesState,
      String demand) {}

  /** Reads a line; errors are added to its arguments. */
  static FaultLine read(LineArguments args) {
    double fromSecond = args.micros("from", 0, DAY_MICROS, 0) / SECOND_MICROS;
    double untilSecond =
        args.micros("until", 0, DAY_MICROS, (long) (fromSecond * SECOND_MICROS) + 1)
            / SECOND_MICROS;
    int firstBackend = args.integer("worker", 0, 9_999, 0);
    int backendCount = args.integer("count", 1, 10_000, 1);
    int gatewayCount = args.integer("gatekeepers", 0, 10_000, 0);
    int counterPartition = args.integer("part", 0, 999, -1);
    int zone = args.integer("zone", 0, 999, 0);
    double factor = args.number("times", 1, 1_000, 10);
    double ratio = args.number("share", 0, 1, 0.5);
    long clockOffsetMicros =
        args.micros("by", 0, DAY_MICROS, 1_000_000) * (args.flag("behind", false) ? -1 : 1);
    int itemCount = args.integer("many", 1, 10_000, 10);
    boolean losesState = args.flag("empty", false);
    String demand = args.word("demand", "");
    if (args.isValid() && untilSecond <= fromSecond) {
      args.addError("trouble " + args.positional(0) + " ends before it begins", "until after from");
    }
    List<String> backendIds =
        IntStream.range(firstBackend, firstBackend + backendCount).mapToObj(i -> "w" + i).toList();
    Consumer<Simulation> fault =
        fault(
            args.positional(0),
            new Arguments(
                fromSecond,
                untilSecond,
                backendIds,
                gatewayCount,
                counterPartition,
                zone,
                factor,
                ratio,
                clockOffsetMicros,
                itemCount,
                losesState,
                demand));
    if (fault == null) {
      args.addError("trouble '" + args.positional(0) + "'", "one of " + String.join(" ", KINDS));
    }
    return new FaultLine(
        new DeploymentFile.FaultWindow(
            args.positional(0), fromSecond, untilSecond, firstBackend, backendCount, factor, ratio),
        gatewayCount,
        counterPartition,
        zone,
        demand,
        fault);
  }

  private static final List<String> KINDS =
      List.of(
          "counter-silent",
          "counter-dies",
          "counter-loses",
          "counter-slow",
          "counter-turns-away",
          "counter-split",
          "worker-slow",
          "worker-silent",
          "worker-loses-answers",
          "worker-errs",
          "worker-leaks",
          "worker-dies",
          "worker-drains",
          "deploy",
          "zone-dies",
          "network-slow",
          "roster-mute",
          "clock-skew",
          "gatekeeper-dies",
          "burst",
          "give-up",
          "retry-storm",
          "poison");

  private static Consumer<Simulation> fault(String kind, Arguments args) {
    double from = args.fromSecond;
    double until = args.untilSecond;
    return switch (kind) {
      case "counter-silent" -> sim -> Faults.counterUnreachable(sim, from, until);
      case "counter-dies" -> sim -> Faults.counterRestart(sim, from, until, args.losesState);
      case "counter-loses" -> sim -> Faults.counterLosesState(sim, from);
      case "counter-slow" -> sim -> Faults.counterSlow(sim, from, until, args.factor);
      case "counter-turns-away" -> sim -> Faults.counterRejects(sim, from, until, args.ratio);
      case "counter-split" ->
          sim ->
              Faults.counterPartitioned(
                  sim, from, until, Math.max(1, args.gatewayCount), args.counterPartition);
      case "worker-slow" ->
          forEachBackend(args, (sim, id) -> Faults.backendSlow(sim, from, until, id, args.factor));
      case "worker-silent" ->
          forEachBackend(args, (sim, id) -> Faults.backendUnresponsive(sim, from, until, id));
      case "worker-loses-answers" ->
          forEachBackend(
              args, (sim, id) -> Faults.backendLosesResponses(sim, from, until, id, args.ratio));
      case "worker-errs" ->
          forEachBackend(args, (sim, id) -> Faults.backendErrors(sim, from, until, id, args.ratio));
      case "worker-leaks" ->
          forEachBackend(
              args,
              (sim, id) -> Faults.backendLeaksConnections(sim, from, until, id, args.itemCount));
      case "worker-dies" ->
          forEachBackend(args, (sim, id) -> Faults.backendRestart(sim, from, until, id));
      case "worker-drains" ->
          forEachBackend(args, (sim, id) -> Faults.backendDrains(sim, from, until, id));
      case "deploy" -> sim -> Faults.rollingDeploy(sim, from, until, args.itemCount);
      case "zone-dies" -> sim -> Faults.zoneOutage(sim, from, until, args.zone);
      case "network-slow" -> sim -> Faults.networkSlow(sim, from, until, args.factor);
      case "roster-mute" -> sim -> Faults.discoveryMuted(sim, from, until);
      case "clock-skew" ->
          sim ->
              Faults.clockSkew(
                  sim, from, until, Math.max(1, args.gatewayCount), args.clockOffsetMicros);
      case "gatekeeper-dies" ->
          sim -> Faults.gatewaysKilled(sim, from, until, Math.max(1, args.gatewayCount));
      case "burst" -> sim -> Faults.demandBurst(sim, from, until, args.demand, args.factor);
      case "give-up" -> sim -> Faults.clientsDisconnectEarly(sim, from, until, args.ratio);
      case "retry-storm" -> sim -> Faults.retryStorm(sim, from, until, args.itemCount);
      case "poison" -> sim -> Faults.poisonRequests(sim, from, until, args.ratio);
      default -> null;
    };
  }

  private static Consumer<Simulation> forEachBackend(
      Arguments args, BiConsumer<Simulation, String> scheduleFault) {
    List<String> backendIds = args.backendIds;
    return sim -> backendIds.forEach(id -> scheduleFault.accept(sim, id));
  }
}
