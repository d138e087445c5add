package fawndock.simulation;

import fawndock.policy.event.EndpointState;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Faults of a simulation. Each is scheduled before the run, starts at one second of the run and
 * ends at another, and can be combined with the others. When several faults of one kind overlap on
 * the same target, all of them end when the first of them ends.
 */
public final class Faults {
  private static final double KILL_DELAY_SECONDS = 1;

  private Faults() {}

  private static void during(
      Simulation simulation,
      double fromSecond,
      double untilSecond,
      Consumer<Simulation> onStart,
      Consumer<Simulation> onEnd) {
    simulation.scheduleAt(fromSecond, onStart).scheduleAt(untilSecond, onEnd);
  }

  private static void cutPaths(
      Simulation simulation, double fromSecond, double untilSecond, List<String> paths) {
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim -> sim.network.cutPaths.addAll(paths),
        sim -> paths.forEach(sim.network.cutPaths::remove));
  }

  /** The counter is unreachable: all messages to and from it are lost. */
  public static void counterUnreachable(
      Simulation simulation, double fromSecond, double untilSecond) {
    List<String> paths = new ArrayList<>();
    simulation.counterPartitions.forEach(
        partition -> paths.addAll(List.of("*>" + partition.name, partition.name + ">*")));
    cutPaths(simulation, fromSecond, untilSecond, paths);
  }

  /** The counter is killed and restarts, with or without its state. */
  public static void counterRestart(
      Simulation simulation, double fromSecond, double untilSecond, boolean losesState) {
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim -> sim.counterPartitions.forEach(partition -> partition.setRunning(false)),
        sim ->
            sim.counterPartitions.forEach(
                partition -> {
                  if (losesState) {
                    partition.clear();
                  }
                  partition.setRunning(true);
                }));
  }

  /** The counter loses all counts and continues to run. */
  public static void counterLosesState(Simulation simulation, double fromSecond) {
    simulation.scheduleAt(
        fromSecond, sim -> sim.counterPartitions.forEach(SimulatedCounter::clear));
  }

  /** The service time of each counter call is multiplied by a factor. */
  public static void counterSlow(
      Simulation simulation, double fromSecond, double untilSecond, double factor) {
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim -> sim.counterPartitions.forEach(partition -> partition.serviceTimeFactor = factor),
        sim -> sim.counterPartitions.forEach(partition -> partition.serviceTimeFactor = 1));
  }

  /** The counter rejects a share of the calls. */
  public static void counterRejects(
      Simulation simulation, double fromSecond, double untilSecond, double ratio) {
    double usualRatio = simulation.deployment.counter().rejectRatio();
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim -> sim.counterPartitions.forEach(partition -> partition.rejectRatio = ratio),
        sim -> sim.counterPartitions.forEach(partition -> partition.rejectRatio = usualRatio));
  }

  /**
   * The first gateways are partitioned from the counter: their calls are lost.
   *
   * @param partition index of a partition of the counter; below 0 for all partitions
   */
  public static void counterPartitioned(
      Simulation simulation,
      double fromSecond,
      double untilSecond,
      int gatewayCount,
      int partition) {
    List<String> paths = new ArrayList<>();
    for (SimulatedCounter counterPartition :
        partition < 0
            ? simulation.counterPartitions
            : List.of(simulation.counterPartitions.get(partition))) {
      for (int i = 0; i < gatewayCount; i++) {
        paths.add("g" + i + ">" + counterPartition.name);
      }
    }
    cutPaths(simulation, fromSecond, untilSecond, paths);
  }

  /** The work time of a backend is multiplied by a factor. */
  public static void backendSlow(
      Simulation simulation,
      double fromSecond,
      double untilSecond,
      String endpointId,
      double factor) {
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim -> sim.backend(endpointId).workTimeFactor = factor,
        sim -> sim.backend(endpointId).workTimeFactor = 1);
  }

  /** A backend accepts attempts but does not respond. */
  public static void backendUnresponsive(
      Simulation simulation, double fromSecond, double untilSecond, String endpointId) {
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim -> sim.backend(endpointId).isUnresponsive = true,
        sim -> sim.backend(endpointId).isUnresponsive = false);
  }

  /** A backend does its work but loses a share of its responses. */
  public static void backendLosesResponses(
      Simulation simulation,
      double fromSecond,
      double untilSecond,
      String endpointId,
      double ratio) {
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim -> sim.backend(endpointId).lostResponseRatio = ratio,
        sim -> sim.backend(endpointId).lostResponseRatio = 0);
  }

  /** A backend responds to a share of the attempts with an error. */
  public static void backendErrors(
      Simulation simulation,
      double fromSecond,
      double untilSecond,
      String endpointId,
      double ratio) {
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim -> sim.backend(endpointId).errorRatio = ratio,
        sim -> sim.backend(endpointId).errorRatio = 0);
  }

  /**
   * A backend leaks connections at a constant rate until none are free. All are released at the end
   * of the fault.
   */
  public static void backendLeaksConnections(
      Simulation simulation,
      double fromSecond,
      double untilSecond,
      String endpointId,
      double connectionsPerSecond) {
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim -> sim.backend(endpointId).leakConnections(connectionsPerSecond),
        sim -> sim.backend(endpointId).leakConnections(0));
  }

  /** A backend is killed and removed from discovery, and restarts with a slow start. */
  public static void backendRestart(
      Simulation simulation, double fromSecond, double untilSecond, String endpointId) {
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim -> {
          sim.backend(endpointId).kill();
          sim.discovery.announceState(endpointId, EndpointState.REMOVED);
        },
        sim -> {
          sim.backend(endpointId).start(true);
          sim.discovery.announceState(endpointId, EndpointState.RUNNING);
        });
  }

  /** A backend drains, is killed after the drain grace, and restarts with a slow start. */
  public static void backendDrains(
      Simulation simulation, double fromSecond, double untilSecond, String endpointId) {
    double graceSeconds =
        simulation.deployment.rules().drainGraceMicros() / 1e6
            + simulation.deployment.discoveryDelayMicros() / 1e6
            + KILL_DELAY_SECONDS;
    simulation.scheduleAt(
        fromSecond, sim -> sim.discovery.announceState(endpointId, EndpointState.DRAINING));
    backendRestart(
        simulation, Math.min(fromSecond + graceSeconds, untilSecond), untilSecond, endpointId);
  }

  /** All backends drain and restart in batches, as in a rolling deploy. */
  public static void rollingDeploy(
      Simulation simulation, double fromSecond, double untilSecond, int batchSize) {
    int backendCount = simulation.deployment.backendCount();
    int batches = (backendCount + batchSize - 1) / batchSize;
    double batchSeconds = (untilSecond - fromSecond) / batches;
    for (int i = 0; i < backendCount; i++) {
      int batch = i / batchSize;
      double startSecond = fromSecond + batch * batchSeconds;
      backendDrains(simulation, startSecond, startSecond + batchSeconds, "w" + i);
    }
  }

  /** All backends of a zone are killed at once and restart at once with a slow start. */
  public static void zoneOutage(
      Simulation simulation, double fromSecond, double untilSecond, int zone) {
    for (int i = zone;
        i < simulation.deployment.backendCount();
        i += simulation.deployment.zoneCount()) {
      backendRestart(simulation, fromSecond, untilSecond, "w" + i);
    }
  }

  /** The delay of all messages is multiplied by a factor. */
  public static void networkSlow(
      Simulation simulation, double fromSecond, double untilSecond, double factor) {
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim -> sim.network.delayFactor = factor,
        sim -> sim.network.delayFactor = 1);
  }

  /** Discovery sends no changes; each gateway receives a snapshot at the end of the fault. */
  public static void discoveryMuted(Simulation simulation, double fromSecond, double untilSecond) {
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim -> sim.discovery.setMuted(true),
        sim -> sim.discovery.setMuted(false));
  }

  /**
   * The clocks of the first gateways are ahead of simulated time by an offset, or behind it when
   * the offset is negative.
   */
  public static void clockSkew(
      Simulation simulation,
      double fromSecond,
      double untilSecond,
      int gatewayCount,
      long offsetMicros) {
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim ->
            sim.gateways
                .subList(0, gatewayCount)
                .forEach(gateway -> gateway.setClockOffset(offsetMicros)),
        sim -> sim.gateways.subList(0, gatewayCount).forEach(gateway -> gateway.setClockOffset(0)));
  }

  /** The processes of the first gateways are killed and restart. */
  public static void gatewaysKilled(
      Simulation simulation, double fromSecond, double untilSecond, int gatewayCount) {
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim -> sim.gateways.subList(0, gatewayCount).forEach(sim::killGateway),
        sim -> sim.gateways.subList(0, gatewayCount).forEach(SimulatedGateway::start));
  }

  /**
   * The request rate of one demand, or of all demands when the name is empty, is multiplied by a
   * factor.
   */
  public static void demandBurst(
      Simulation simulation, double fromSecond, double untilSecond, String demand, double factor) {
    simulation.scheduleAt(
        fromSecond, sim -> sim.clients.addDemand(demand, factor - 1, untilSecond - fromSecond));
  }

  /** A share of the clients disconnects early. */
  public static void clientsDisconnectEarly(
      Simulation simulation, double fromSecond, double untilSecond, double ratio) {
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim -> sim.clients.earlyDisconnectRatio = ratio,
        sim -> sim.clients.earlyDisconnectRatio = 0);
  }

  /** Clients retry immediately whatever the response, up to a number of attempts per operation. */
  public static void retryStorm(
      Simulation simulation, double fromSecond, double untilSecond, int maxAttempts) {
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim -> sim.clients.retryStormAttempts = maxAttempts,
        sim -> sim.clients.retryStormAttempts = 0);
  }

  /** Each attempt of a share of the operations kills the backend that processes it. */
  public static void poisonRequests(
      Simulation simulation, double fromSecond, double untilSecond, double ratio) {
    during(
        simulation,
        fromSecond,
        untilSecond,
        sim -> sim.clients.poisonRatio = ratio,
        sim -> sim.clients.poisonRatio = 0);
  }
}
