package fawndock.scenario;

import fawndock.conformance.InvariantChecker;
import fawndock.fake.FakeBackend;
import fawndock.fake.RawHttpClient;
import java.io.PrintStream;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Faults drawn at random over the bad day's gateways, backends, counter and endpoint discovery, as
 * many at once as come about. A seed draws the same faults at the same times; what the machine
 * makes of them differs.
 */
public final class ChaosScenario {
  private static final double MEAN_GAP_SECONDS = 0.8;
  private static final double QUIET_END_SECONDS = 3;
  private final int seconds;
  private final int nodes;
  private final SplittableRandom random;
  private final long seed;
  private final PrintStream out;
  private final FaultSchedule schedule = new FaultSchedule();
  private final TreeSet<String> activeTargets = new TreeSet<>();
  private CounterFleetFixture counterFleet;

  /**
   * @param seconds how long, from 10
   * @param nodes counter nodes that stand in for each other, or 1 for a counter alone
   */
  public ChaosScenario(int seconds, int nodes, long seed, PrintStream out) {
    this.seconds = seconds;
    this.nodes = nodes;
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.out = out;
  }

  /** Plays it; returns whether every rule was kept. */
  public boolean run() throws Exception {
    try (FleetFixture scene =
            new FleetFixture(
                BadDayScenario.BACKENDS, BadDayScenario.BACKEND_CONFIG, seed, nodes == 1);
        CounterFleetFixture made =
            nodes == 1
                ? null
                : new CounterFleetFixture(
                    scene.vertx, scene.directory(), nodes, BadDayScenario.GATEWAYS)) {
      counterFleet = made;
      if (counterFleet == null) {
        scene.addGateways(BadDayScenario.GATEWAYS, BadDayScenario.COMMON_SETTINGS);
      } else {
        scene.addGateways(
            BadDayScenario.GATEWAYS,
            i -> counterFleet.gatewaySettings(i) + BadDayScenario.COMMON_SETTINGS);
      }
      scene.gateways.startAll();
      TrafficGenerator traffic =
          new TrafficGenerator(
              scene.vertx,
              new RawHttpClient(scene.vertx, scene.recorder),
              BadDayScenario.requestKinds(),
              BadDayScenario.customers(),
              BadDayScenario.GATEWAYS,
              scene.gateways::port,
              seed);
      traffic.setRateFactor(0.1);
      traffic.start();
      schedule.at(1.5, "traffic is at its full height", () -> traffic.setRateFactor(1));
      for (double at = 2;
          at < seconds - QUIET_END_SECONDS;
          at += MEAN_GAP_SECONDS * (0.5 + random.nextDouble())) {
        drawFault(at, scene, traffic);
      }
      schedule.runUntil(seconds, out);
      traffic.stop();
      BadDayScenario.awaitCompletion(traffic);
      if (counterFleet != null) {
        counterFleet.close(); // Before its folder goes.
      }
      return scene.conclude(
          InvariantChecker.check(scene.recorder.events(), BadDayScenario.conformanceLimits(scene)),
          out);
    }
  }

  private void drawFault(double at, FleetFixture s, TrafficGenerator traffic) {
    double length = 0.5 + 5 * random.nextDouble();
    double end = Math.min(at + length, seconds - QUIET_END_SECONDS);
    int worker = random.nextInt(BadDayScenario.BACKENDS);
    double share = 0.1 + 0.5 * random.nextDouble();
    int gateway = random.nextInt(BadDayScenario.GATEWAYS);
    switch (random.nextInt(13)) {
      case 0, 1 ->
          scheduleFault(
              "gatekeeper",
              "gatekeeper " + gateway + " is killed",
              at,
              end,
              () -> s.gateways.kill(gateway),
              () -> s.gateways.restart(gateway));
      case 2 ->
          scheduleBackendFault(
              s,
              worker,
              "slow",
              at,
              end,
              f -> f.workTimeFactor = 2 + 10 * share,
              f -> f.workTimeFactor = 1);
      case 3 ->
          scheduleBackendFault(
              s,
              worker,
              "silent",
              at,
              end,
              f -> f.isUnresponsive = true,
              f -> f.isUnresponsive = false);
      case 4 ->
          scheduleBackendFault(
              s,
              worker,
              "losing answers",
              at,
              end,
              f -> f.lostResponseRatio = share,
              f -> f.lostResponseRatio = 0);
      case 5 ->
          scheduleBackendFault(
              s, worker, "resetting", at, end, f -> f.resetRatio = share, f -> f.resetRatio = 0);
      case 6 ->
          scheduleBackendFault(
              s, worker, "refusing", at, end, f -> f.rejectRatio = share, f -> f.rejectRatio = 0);
      case 7 ->
          scheduleBackendFault(
              s, worker, "failing", at, end, f -> f.errorRatio = share, f -> f.errorRatio = 0);
      case 8 ->
          scheduleFault(
              "worker-" + worker,
              "worker-" + worker + " drains, dies and comes back cold",
              at,
              end,
              () -> {
                s.discovery.publish(s.endpointEntry(worker, "stopping"));
                s.backends.get(worker).drain();
              },
              () ->
                  s.backends
                      .get(worker)
                      .kill()
                      .compose(v -> s.backends.get(worker).start(true))
                      .onSuccess(p -> s.discovery.publish(s.endpointEntry(worker, "running"))));
      case 9, 10 -> {
        if (counterFleet == null) {
          drawCounterFault(at, end, share, s);
        } else {
          drawNodeFault(at, end, share);
        }
      }
      case 11 ->
          scheduleFault(
              "roster",
              "the roster is cut off",
              at,
              end,
              () -> s.discovery.setDisconnected(true),
              () -> s.discovery.setDisconnected(false));
      default ->
          scheduleFault(
              "traffic",
              "twice the traffic, some clients leave early",
              at,
              end,
              () -> {
                traffic.setRateFactor(2);
                traffic.setEarlyDisconnectRatio(share / 3);
              },
              () -> {
                traffic.setRateFactor(1);
                traffic.setEarlyDisconnectRatio(0);
              });
    }
  }

  private void drawCounterFault(double at, double end, double share, FleetFixture s) {
    if (random.nextBoolean()) {
      scheduleFault(
          "counter",
          "the counter is silent",
          at,
          end,
          () -> s.counter.setUnresponsive(true),
          () -> s.counter.setUnresponsive(false));
      return;
    }
    boolean empty = share < 0.3;
    scheduleFault(
        "counter",
        "the counter is killed" + (empty ? ", and comes back empty" : ""),
        at,
        end,
        s.counter::kill,
        () -> {
          if (empty) {
            s.counter.deleteState();
          }
          s.counter.start();
        });
  }

  /** Each node may have its fault while others have theirs; a split takes all of them. */
  private void drawNodeFault(double at, double end, double share) {
    int node = random.nextInt(nodes);
    int other = (node + 1 + random.nextInt(nodes - 1)) % nodes;
    boolean empty = share < 0.3;
    switch (random.nextInt(4)) {
      case 0 ->
          scheduleFault(
              "split",
              "counter node " + node + " and some gatekeepers are split off",
              at,
              end,
              () -> counterFleet.partition(node, true),
              () -> counterFleet.partition(node, false));
      case 1 ->
          scheduleFault(
              "split",
              "counter node " + node + " is not heard by " + other,
              at,
              end,
              () -> counterFleet.blockOneWay(node, other, true),
              () -> counterFleet.blockOneWay(node, other, false));
      default ->
          scheduleFault(
              "node-" + node,
              "counter node " + node + " is killed" + (empty ? ", and comes back empty" : ""),
              at,
              end,
              () -> counterFleet.node(node).kill(),
              () -> {
                if (empty) {
                  counterFleet.node(node).deleteState();
                }
                counterFleet.node(node).restart();
              });
    }
  }

  private void scheduleBackendFault(
      FleetFixture s,
      int worker,
      String what,
      double at,
      double end,
      Consumer<FakeBackend.Faults> on,
      Consumer<FakeBackend.Faults> off) {
    scheduleFault(
        "worker-" + worker,
        "worker-" + worker + " is " + what,
        at,
        end,
        () -> s.backends.get(worker).injectFaults(on),
        () -> s.backends.get(worker).injectFaults(off));
  }

  /** One thing has one fault at a time; what is drawn for it meanwhile falls away. */
  private void scheduleFault(
      String whom,
      String what,
      double at,
      double end,
      FaultSchedule.ScheduledAction on,
      FaultSchedule.ScheduledAction off) {
    boolean[] mine = {false};
    schedule.at(
        at,
        what,
        () -> {
          mine[0] = activeTargets.add(whom);
          if (mine[0]) {
            on.run();
          }
        });
    schedule.at(
        end,
        "end: " + what,
        () -> {
          if (mine[0]) {
            activeTargets.remove(whom);
            off.run();
          }
        });
  }
}
