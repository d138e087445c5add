package fawndock.simulation;

import fawndock.settings.LineArguments;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * What a {@code trouble} line says: a kind, when, and on what.
 *
 * @param gatewayCount how many it names; 0 for none
 * @param counterPartition of the counter; below 0 for all
 */
record FaultLine(
    DeploymentFile.FaultWindow window,
    int gatewayCount,
    int counterPartition,
    int zone,
    String demand,
    Consumer<Simulation> fault) {
  private static final double SECOND = 1e6;
  private static final long DAY = 86_400_000_000L;

  /** What a line may name beside its kind and times. */
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
      int count,
      boolean losesState,
      String demand) {}

  /** Reads a line; notes what is wrong with it. */
  static FaultLine read(LineArguments a) {
    double from = a.micros("from", 0, DAY, 0) / SECOND;
    double until = a.micros("until", 0, DAY, (long) (from * SECOND) + 1) / SECOND;
    int worker = a.integer("worker", 0, 9_999, 0);
    int count = a.integer("count", 1, 10_000, 1);
    int some = a.integer("gatekeepers", 0, 10_000, 0);
    int part = a.integer("part", 0, 999, -1);
    int zone = a.integer("zone", 0, 999, 0);
    double times = a.number("times", 1, 1_000, 10);
    double share = a.number("share", 0, 1, 0.5);
    long by = a.micros("by", 0, DAY, 1_000_000) * (a.flag("behind", false) ? -1 : 1);
    int many = a.integer("many", 1, 10_000, 10);
    boolean empty = a.flag("empty", false);
    String demand = a.word("demand", "");
    if (a.isValid() && until <= from) {
      a.addError("trouble " + a.positional(0) + " ends before it begins", "until after from");
    }
    List<String> workers = IntStream.range(worker, worker + count).mapToObj(i -> "w" + i).toList();
    Consumer<Simulation> made =
        fault(
            a.positional(0),
            new Arguments(
                from, until, workers, some, part, zone, times, share, by, many, empty, demand));
    if (made == null) {
      a.addError("trouble '" + a.positional(0) + "'", "one of " + String.join(" ", KINDS));
    }
    return new FaultLine(
        new DeploymentFile.FaultWindow(a.positional(0), from, until, worker, count, times, share),
        some,
        part,
        zone,
        demand,
        made);
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

  private static Consumer<Simulation> fault(String kind, Arguments n) {
    double from = n.fromSecond;
    double to = n.untilSecond;
    return switch (kind) {
      case "counter-silent" -> in -> Faults.counterUnreachable(in, from, to);
      case "counter-dies" -> in -> Faults.counterRestart(in, from, to, n.losesState);
      case "counter-loses" -> in -> Faults.counterLosesState(in, from);
      case "counter-slow" -> in -> Faults.counterSlow(in, from, to, n.factor);
      case "counter-turns-away" -> in -> Faults.counterRejects(in, from, to, n.ratio);
      case "counter-split" ->
          in ->
              Faults.counterPartitioned(
                  in, from, to, Math.max(1, n.gatewayCount), n.counterPartition);
      case "worker-slow" ->
          forEachBackend(n, (in, w) -> Faults.backendSlow(in, from, to, w, n.factor));
      case "worker-silent" ->
          forEachBackend(n, (in, w) -> Faults.backendUnresponsive(in, from, to, w));
      case "worker-loses-answers" ->
          forEachBackend(n, (in, w) -> Faults.backendLosesResponses(in, from, to, w, n.ratio));
      case "worker-errs" ->
          forEachBackend(n, (in, w) -> Faults.backendErrors(in, from, to, w, n.ratio));
      case "worker-leaks" ->
          forEachBackend(n, (in, w) -> Faults.backendLeaksConnections(in, from, to, w, n.count));
      case "worker-dies" -> forEachBackend(n, (in, w) -> Faults.backendRestart(in, from, to, w));
      case "worker-drains" -> forEachBackend(n, (in, w) -> Faults.backendDrains(in, from, to, w));
      case "deploy" -> in -> Faults.rollingDeploy(in, from, to, n.count);
      case "zone-dies" -> in -> Faults.zoneOutage(in, from, to, n.zone);
      case "network-slow" -> in -> Faults.networkSlow(in, from, to, n.factor);
      case "roster-mute" -> in -> Faults.discoveryMuted(in, from, to);
      case "clock-skew" ->
          in -> Faults.clockSkew(in, from, to, Math.max(1, n.gatewayCount), n.clockOffsetMicros);
      case "gatekeeper-dies" ->
          in -> Faults.gatewaysKilled(in, from, to, Math.max(1, n.gatewayCount));
      case "burst" -> in -> Faults.demandBurst(in, from, to, n.demand, n.factor);
      case "give-up" -> in -> Faults.clientsDisconnectEarly(in, from, to, n.ratio);
      case "retry-storm" -> in -> Faults.retryStorm(in, from, to, n.count);
      case "poison" -> in -> Faults.poisonRequests(in, from, to, n.ratio);
      default -> null;
    };
  }

  private static Consumer<Simulation> forEachBackend(
      Arguments n, java.util.function.BiConsumer<Simulation, String> one) {
    List<String> workers = new ArrayList<>(n.backendIds);
    return in -> workers.forEach(w -> one.accept(in, w));
  }
}
