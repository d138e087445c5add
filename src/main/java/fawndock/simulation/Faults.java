package fawndock.simulation;

import fawndock.policy.event.EndpointState;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Troubles that can be put together at will; each begins at a second of a run and ends at another.
 * They are made before the run, and several of one kind on the same part end with the first that
 * ends.
 */
public final class Faults {
  private static final double KILL_DELAY_SECONDS = 1;

  private Faults() {}

  private static void during(
      Simulation in, double from, double to, Consumer<Simulation> on, Consumer<Simulation> off) {
    in.scheduleAt(from, on).scheduleAt(to, off);
  }

  private static void cutPaths(Simulation in, double from, double to, List<String> ways) {
    during(
        in,
        from,
        to,
        e -> e.network.cutPaths.addAll(ways),
        e -> ways.forEach(e.network.cutPaths::remove));
  }

  /** Nothing reaches the counter, and nothing comes from it. */
  public static void counterUnreachable(Simulation in, double from, double to) {
    List<String> ways = new ArrayList<>();
    in.counterPartitions.forEach(part -> ways.addAll(List.of("*>" + part.name, part.name + ">*")));
    cutPaths(in, from, to, ways);
  }

  /** The counter dies and comes back, with what it had or with nothing. */
  public static void counterRestart(Simulation in, double from, double to, boolean empty) {
    during(
        in,
        from,
        to,
        e -> e.counterPartitions.forEach(part -> part.setRunning(false)),
        e ->
            e.counterPartitions.forEach(
                part -> {
                  if (empty) {
                    part.clear();
                  }
                  part.setRunning(true);
                }));
  }

  /** The counter loses all counts at once, and goes on. */
  public static void counterLosesState(Simulation in, double from) {
    in.scheduleAt(from, e -> e.counterPartitions.forEach(SimulatedCounter::clear));
  }

  /** Each call takes the counter so many times as long. */
  public static void counterSlow(Simulation in, double from, double to, double times) {
    during(
        in,
        from,
        to,
        e -> e.counterPartitions.forEach(part -> part.serviceTimeFactor = times),
        e -> e.counterPartitions.forEach(part -> part.serviceTimeFactor = 1));
  }

  /** The counter refuses this share of the calls. */
  public static void counterRejects(Simulation in, double from, double to, double share) {
    double before = in.deployment.counter().rejectRatio();
    during(
        in,
        from,
        to,
        e -> e.counterPartitions.forEach(part -> part.rejectRatio = share),
        e -> e.counterPartitions.forEach(part -> part.rejectRatio = before));
  }

  /**
   * Some gatekeepers, from the first on, are cut off from the counter.
   *
   * @param part from one part of it, or from all when below 0
   */
  public static void counterPartitioned(
      Simulation in, double from, double to, int gatekeepers, int part) {
    List<String> ways = new ArrayList<>();
    for (SimulatedCounter each :
        part < 0 ? in.counterPartitions : List.of(in.counterPartitions.get(part))) {
      for (int i = 0; i < gatekeepers; i++) {
        ways.add("g" + i + ">" + each.name);
      }
    }
    cutPaths(in, from, to, ways);
  }

  /** A worker's work takes so many times as long. */
  public static void backendSlow(
      Simulation in, double from, double to, String worker, double times) {
    during(
        in,
        from,
        to,
        e -> e.backend(worker).workTimeFactor = times,
        e -> e.backend(worker).workTimeFactor = 1);
  }

  /** A worker takes attempts and says nothing. */
  public static void backendUnresponsive(Simulation in, double from, double to, String worker) {
    during(
        in,
        from,
        to,
        e -> e.backend(worker).isUnresponsive = true,
        e -> e.backend(worker).isUnresponsive = false);
  }

  /** A worker does its work and loses this share of its answers. */
  public static void backendLosesResponses(
      Simulation in, double from, double to, String worker, double share) {
    during(
        in,
        from,
        to,
        e -> e.backend(worker).lostResponseRatio = share,
        e -> e.backend(worker).lostResponseRatio = 0);
  }

  /** A worker answers this share with an error. */
  public static void backendErrors(
      Simulation in, double from, double to, String worker, double share) {
    during(
        in,
        from,
        to,
        e -> e.backend(worker).errorRatio = share,
        e -> e.backend(worker).errorRatio = 0);
  }

  /**
   * A worker's connections leak, so many a second, until it has none left to give; in the end it
   * has them back.
   */
  public static void backendLeaksConnections(
      Simulation in, double from, double to, String worker, double aSecond) {
    during(
        in,
        from,
        to,
        e -> e.backend(worker).leakConnections(aSecond),
        e -> e.backend(worker).leakConnections(0));
  }

  /** A worker dies, is taken off the roster, and comes back cold. */
  public static void backendRestart(Simulation in, double from, double to, String worker) {
    during(
        in,
        from,
        to,
        e -> {
          e.backend(worker).kill();
          e.announceState(worker, EndpointState.REMOVED);
        },
        e -> {
          e.backend(worker).start(true);
          e.announceState(worker, EndpointState.RUNNING);
        });
  }

  /** A worker drains, is gone when its grace is over, and comes back cold. */
  public static void backendDrains(Simulation in, double from, double to, String worker) {
    double grace =
        in.deployment.rules().drainGraceMicros() / 1e6
            + in.deployment.discoveryDelayMicros() / 1e6
            + KILL_DELAY_SECONDS;
    in.scheduleAt(from, e -> e.announceState(worker, EndpointState.DRAINING));
    backendRestart(in, Math.min(from + grace, to), to, worker);
  }

  /**
   * All workers are replaced, so many at a time, as a deploy does: each drains, ends and comes back
   * cold.
   */
  public static void rollingDeploy(Simulation in, double from, double to, int atATime) {
    int all = in.deployment.backendCount();
    int batches = (all + atATime - 1) / atATime;
    double step = (to - from) / batches;
    for (int i = 0; i < all; i++) {
      double begin = from + i / atATime * step;
      backendDrains(in, begin, begin + step, "w" + i);
    }
  }

  /** All workers of a zone die at once, and come back cold at once. */
  public static void zoneOutage(Simulation in, double from, double to, int zone) {
    for (int i = zone; i < in.deployment.backendCount(); i += in.deployment.zoneCount()) {
      backendRestart(in, from, to, "w" + i);
    }
  }

  /** All ways take so many times as long. */
  public static void networkSlow(Simulation in, double from, double to, double times) {
    during(in, from, to, e -> e.network.delayFactor = times, e -> e.network.delayFactor = 1);
  }

  /** The roster tells no change; all of them at the end. */
  public static void discoveryMuted(Simulation in, double from, double to) {
    during(
        in,
        from,
        to,
        e -> e.isDiscoveryMuted = true,
        e -> {
          e.isDiscoveryMuted = false;
          e.gateways.forEach(e::sendSnapshot);
        });
  }

  /**
   * The clocks of some gatekeepers, from the first on, are ahead by so much, or behind when below
   * 0.
   */
  public static void clockSkew(
      Simulation in, double from, double to, int gatekeepers, long micros) {
    during(
        in,
        from,
        to,
        e -> e.gateways.subList(0, gatekeepers).forEach(g -> g.setClockOffset(micros)),
        e -> e.gateways.subList(0, gatekeepers).forEach(g -> g.setClockOffset(0)));
  }

  /** The processes of some gatekeepers, from the first on, are killed, and start again. */
  public static void gatewaysKilled(Simulation in, double from, double to, int gatekeepers) {
    during(
        in,
        from,
        to,
        e -> e.gateways.subList(0, gatekeepers).forEach(e::killGateway),
        e -> e.gateways.subList(0, gatekeepers).forEach(SimulatedGateway::start));
  }

  /** Customers of one demand, or of all, ask so many times as much. */
  public static void demandBurst(
      Simulation in, double from, double to, String demand, double times) {
    in.scheduleAt(from, e -> e.addDemand(demand, times - 1, to - from));
  }

  /** This share of the clients leaves early. */
  public static void clientsDisconnectEarly(Simulation in, double from, double to, double share) {
    during(in, from, to, e -> e.earlyDisconnectRatio = share, e -> e.earlyDisconnectRatio = 0);
  }

  /** Clients try again at once whatever they are told, up to so many tries of each request. */
  public static void retryStorm(Simulation in, double from, double to, int tries) {
    during(in, from, to, e -> e.retryStormAttempts = tries, e -> e.retryStormAttempts = 0);
  }

  /** This share of the requests kills the process that works on it, in each of its attempts. */
  public static void poisonRequests(Simulation in, double from, double to, double share) {
    during(in, from, to, e -> e.poisonRatio = share, e -> e.poisonRatio = 0);
  }
}
