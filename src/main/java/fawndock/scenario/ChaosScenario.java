package fawndock.scenario;

import fawndock.conformance.InvariantChecker;
import fawndock.fake.FakeBackend;
import fawndock.fake.RawHttpClient;
import java.io.PrintStream;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Scenario {@code chaos}: random, possibly simultaneous faults of gateways, backends, counter and
 * endpoint discovery, in the fleet of {@link BadDayScenario}. A seed gives the same faults at the
 * same times; their effects depend on the machine and differ between runs.
 */
public final class ChaosScenario {
  private static final double MEAN_GAP_SECONDS = 0.8;
  private static final double RECOVERY_SECONDS = 3;
  private final int seconds;
  private final int nodeCount;
  private final SplittableRandom random;
  private final long seed;
  private final PrintStream out;
  private final FaultSchedule schedule = new FaultSchedule();
  private final TreeSet<String> activeTargets = new TreeSet<>();
  private CounterFleetFixture counterFleet;

  /**
   * @param seconds duration, at least 10
   * @param nodeCount number of replicated counter nodes, or 1 for a counter without replication
   */
  public ChaosScenario(int seconds, int nodeCount, long seed, PrintStream out) {
    this.seconds = seconds;
    this.nodeCount = nodeCount;
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.out = out;
  }

  /** Runs the scenario; returns whether every rule was kept. */
  public boolean run() throws Exception {
    try (FleetFixture fixture =
            new FleetFixture(
                BadDayScenario.BACKENDS, BadDayScenario.BACKEND_CONFIG, seed, nodeCount == 1);
        CounterFleetFixture nodeFixture =
            nodeCount == 1
                ? null
                : new CounterFleetFixture(
                    fixture.vertx, fixture.directory(), nodeCount, BadDayScenario.GATEWAYS)) {
      counterFleet = nodeFixture;
      if (counterFleet == null) {
        fixture.addGateways(BadDayScenario.GATEWAYS, BadDayScenario.COMMON_SETTINGS);
      } else {
        fixture.addGateways(
            BadDayScenario.GATEWAYS,
            i -> counterFleet.gatewaySettings(i) + BadDayScenario.COMMON_SETTINGS);
      }
      fixture.gateways.startAll();
      TrafficGenerator traffic =
          new TrafficGenerator(
              fixture.vertx,
              new RawHttpClient(fixture.vertx, fixture.recorder),
              BadDayScenario.requestKinds(),
              BadDayScenario.customers(),
              BadDayScenario.GATEWAYS,
              fixture.gateways::port,
              seed);
      traffic.setRateFactor(0.1);
      traffic.start();
      schedule.at(1.5, "traffic is at its full rate", () -> traffic.setRateFactor(1));
      for (double startSecond = 2;
          startSecond < seconds - RECOVERY_SECONDS;
          startSecond += MEAN_GAP_SECONDS * (0.5 + random.nextDouble())) {
        drawFault(startSecond, fixture, traffic);
      }
      schedule.runUntil(seconds, out);
      traffic.stop();
      BadDayScenario.awaitCompletion(traffic);
      if (counterFleet != null) {
        counterFleet.close(); // The nodes write into the directory that is deleted next.
      }
      return fixture.conclude(
          InvariantChecker.check(
              fixture.recorder.events(), BadDayScenario.conformanceLimits(fixture)),
          out);
    }
  }

  private void drawFault(double startSecond, FleetFixture fixture, TrafficGenerator traffic) {
    double durationSeconds = 0.5 + 5 * random.nextDouble();
    double endSecond = Math.min(startSecond + durationSeconds, seconds - RECOVERY_SECONDS);
    int backend = random.nextInt(BadDayScenario.BACKENDS);
    double ratio = 0.1 + 0.5 * random.nextDouble();
    int gateway = random.nextInt(BadDayScenario.GATEWAYS);
    switch (random.nextInt(13)) {
      case 0, 1 ->
          scheduleFault(
              "gatekeeper",
              "gatekeeper " + gateway + " is killed",
              startSecond,
              endSecond,
              () -> fixture.gateways.kill(gateway),
              () -> fixture.gateways.restart(gateway));
      case 2 ->
          scheduleBackendFault(
              fixture,
              backend,
              "slow",
              startSecond,
              endSecond,
              f -> f.workTimeFactor = 2 + 10 * ratio,
              f -> f.workTimeFactor = 1);
      case 3 ->
          scheduleBackendFault(
              fixture,
              backend,
              "silent",
              startSecond,
              endSecond,
              f -> f.isUnresponsive = true,
              f -> f.isUnresponsive = false);
      case 4 ->
          scheduleBackendFault(
              fixture,
              backend,
              "losing answers",
              startSecond,
              endSecond,
              f -> f.lostResponseRatio = ratio,
              f -> f.lostResponseRatio = 0);
      case 5 ->
          scheduleBackendFault(
              fixture,
              backend,
              "resetting",
              startSecond,
              endSecond,
              f -> f.resetRatio = ratio,
              f -> f.resetRatio = 0);
      case 6 ->
          scheduleBackendFault(
              fixture,
              backend,
              "refusing",
              startSecond,
              endSecond,
              f -> f.rejectRatio = ratio,
              f -> f.rejectRatio = 0);
      case 7 ->
          scheduleBackendFault(
              fixture,
              backend,
              "failing",
              startSecond,
              endSecond,
              f -> f.errorRatio = ratio,
              f -> f.errorRatio = 0);
      case 8 ->
          scheduleFault(
              "worker-" + backend,
              "worker-" + backend + " drains, dies and comes back cold",
              startSecond,
              endSecond,
              () -> {
                fixture.discovery.publish(fixture.endpointEntry(backend, "stopping"));
                fixture.backends.get(backend).drain();
              },
              () ->
                  fixture
                      .backends
                      .get(backend)
                      .kill()
                      .compose(v -> fixture.backends.get(backend).start(true))
                      .onSuccess(
                          p ->
                              fixture.discovery.publish(
                                  fixture.endpointEntry(backend, "running"))));
      case 9, 10 -> {
        if (counterFleet == null) {
          drawCounterFault(startSecond, endSecond, ratio, fixture);
        } else {
          drawNodeFault(startSecond, endSecond, ratio);
        }
      }
      case 11 ->
          scheduleFault(
              "roster",
              "the roster is cut off",
              startSecond,
              endSecond,
              () -> fixture.discovery.setDisconnected(true),
              () -> fixture.discovery.setDisconnected(false));
      default ->
          scheduleFault(
              "traffic",
              "twice the traffic, some clients leave early",
              startSecond,
              endSecond,
              () -> {
                traffic.setRateFactor(2);
                traffic.setEarlyDisconnectRatio(ratio / 3);
              },
              () -> {
                traffic.setRateFactor(1);
                traffic.setEarlyDisconnectRatio(0);
              });
    }
  }

  private void drawCounterFault(
      double startSecond, double endSecond, double ratio, FleetFixture fixture) {
    if (random.nextBoolean()) {
      scheduleFault(
          "counter",
          "the counter is silent",
          startSecond,
          endSecond,
          () -> fixture.counter.setUnresponsive(true),
          () -> fixture.counter.setUnresponsive(false));
      return;
    }
    boolean losesState = ratio < 0.3;
    scheduleFault(
        "counter",
        "the counter is killed" + (losesState ? ", and comes back empty" : ""),
        startSecond,
        endSecond,
        fixture.counter::kill,
        () -> {
          if (losesState) {
            fixture.counter.deleteState();
          }
          fixture.counter.start();
        });
  }

  /**
   * Draws a fault of the counter fleet. Several nodes may be down at once, but only one partition
   * is active at a time.
   */
  private void drawNodeFault(double startSecond, double endSecond, double ratio) {
    int node = random.nextInt(nodeCount);
    int otherNode = (node + 1 + random.nextInt(nodeCount - 1)) % nodeCount;
    boolean losesState = ratio < 0.3;
    switch (random.nextInt(4)) {
      case 0 ->
          scheduleFault(
              "split",
              "counter node " + node + " and some gatekeepers are split off",
              startSecond,
              endSecond,
              () -> counterFleet.partition(node, true),
              () -> counterFleet.partition(node, false));
      case 1 ->
          scheduleFault(
              "split",
              "counter node " + node + " is not heard by " + otherNode,
              startSecond,
              endSecond,
              () -> counterFleet.blockOneWay(node, otherNode, true),
              () -> counterFleet.blockOneWay(node, otherNode, false));
      default ->
          scheduleFault(
              "node-" + node,
              "counter node " + node + " is killed" + (losesState ? ", and comes back empty" : ""),
              startSecond,
              endSecond,
              () -> counterFleet.node(node).kill(),
              () -> {
                if (losesState) {
                  counterFleet.node(node).deleteState();
                }
                counterFleet.node(node).restart();
              });
    }
  }

  private void scheduleBackendFault(
      FleetFixture fixture,
      int backend,
      String description,
      double startSecond,
      double endSecond,
      Consumer<FakeBackend.Faults> inject,
      Consumer<FakeBackend.Faults> recover) {
    scheduleFault(
        "worker-" + backend,
        "worker-" + backend + " is " + description,
        startSecond,
        endSecond,
        () -> fixture.backends.get(backend).injectFaults(inject),
        () -> fixture.backends.get(backend).injectFaults(recover));
  }

  /**
   * Schedules a fault and its end. A target has at most one fault at a time; a fault whose target
   * already has one when it is due is skipped.
   */
  private void scheduleFault(
      String target,
      String description,
      double startSecond,
      double endSecond,
      FaultSchedule.ScheduledAction inject,
      FaultSchedule.ScheduledAction recover) {
    boolean[] isActive = {false};
    schedule.at(
        startSecond,
        description,
        () -> {
          isActive[0] = activeTargets.add(target);
          if (isActive[0]) {
            inject.run();
          }
        });
    schedule.at(
        endSecond,
        "end: " + description,
        () -> {
          if (isActive[0]) {
            activeTargets.remove(target);
            recover.run();
          }
        });
  }
}
