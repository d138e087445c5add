package fawndock.scenario;

import fawndock.conformance.ConformanceResult;
import fawndock.conformance.InvariantChecker;
import fawndock.conformance.TraceEvent;
import fawndock.fake.RawHttpClient;
import fawndock.policy.config.Idempotency;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Scenario {@code counter-split}: counter nodes crash, stall, are partitioned and recover while
 * some customers send one and a half times their quota and others less than it. Use is counted from
 * the requests that the backends executed.
 */
public final class CounterPartitionScenario {
  private static final int GATEWAYS = 4;
  private static final double PLAN_UNITS_PER_SECOND = 60;

  /**
   * More than three windows of the counts, so that the counts from the start of the traffic have
   * expired before the first fault.
   */
  private static final double SETTLING_SECONDS = 7;

  /**
   * Before long faults: the rates of the counter and the caches of the backends are steady by then.
   */
  private static final double LONG_SETTLING_SECONDS = 30;

  private static final double LONG_FAULT_SECONDS = 5;

  /**
   * The bound of docs/design/counter-replication.md on the overshoot of a fault, as a ratio of a
   * minute's quota: failover, delay between nodes and two calls, in seconds, at 1.5 times the
   * quota.
   */
  private static final double CLAIMED_OVERSHOOT_RATIO = 1.5 * (0.055 + 0.04 + 2 * 0.05) / 60;

  /** Period of the rates with which the nodes estimate the use of an unreachable half. */
  private static final double RATE_ESTIMATE_SECONDS = 8;

  /**
   * Ratio of the quota by which the sum of the estimates of both halves may be too low by chance:
   * two standard deviations.
   */
  private static final double CHANCE_RATIO =
      2 / Math.sqrt(2 * PLAN_UNITS_PER_SECOND * RATE_ESTIMATE_SECONDS);

  /** Time until nodes that start empty answer and gateways ask the counter about every request. */
  private static final double RECOVERY_SECONDS = 3;

  private static final String COMMON_SETTINGS =
      """
            class lookup aim 500ms deadline 2s repeat idempotent
            route GET /tours lookup
            plan seat rate 60 store 180
            key over-0 customer over-0 plan seat
            key over-1 customer over-1 plan seat
            key over-2 customer over-2 plan seat
            key under-0 customer under-0 plan seat
            key under-1 customer under-1 plan seat
            log text level info
            """;

  /**
   * A fault of the schedule and the bound on its overshoot.
   *
   * @param claimedRatio bound as a ratio of a minute's quota, without the error of the estimate
   * @param partitionSeconds time for which the halves count independently of each other
   */
  private record PlannedFault(
      String name, double atSecond, double claimedRatio, double partitionSeconds) {}

  private final int nodeCount;
  private final double faultSeconds;
  private final String nameFilter;
  private final long seed;
  private final PrintStream out;
  private final List<PlannedFault> plannedFaults = new ArrayList<>();
  private final Map<String, Long> recoveryMillis = new HashMap<>();
  private CounterFleetFixture counterFleet;
  private Thread upgradeThread;
  private String resultLine = "";

  /**
   * @param nodeCount number of counter nodes: 3, or 1 for a counter without replication
   * @param faultSeconds duration of each fault, and about that of the recovery after it
   * @param nameFilter only faults whose names contain this text are injected
   */
  public CounterPartitionScenario(
      int nodeCount, double faultSeconds, String nameFilter, long seed, PrintStream out) {
    this.nameFilter = nameFilter;
    this.nodeCount = nodeCount;
    this.faultSeconds = faultSeconds;
    this.seed = seed;
    this.out = out;
  }

  /** Returns the number of faults that match the name filter. */
  public int faultCount() {
    schedule();
    int count = plannedFaults.size();
    plannedFaults.clear();
    return count;
  }

  /**
   * Runs the scenario and prints the table of faults; returns whether the worst overshoot is within
   * 5% and every rule was kept.
   */
  public boolean run() throws Exception {
    try (FleetFixture fixture =
            new FleetFixture(BadDayScenario.BACKENDS, BadDayScenario.BACKEND_CONFIG, seed, false);
        CounterFleetFixture fleet =
            new CounterFleetFixture(fixture.vertx, fixture.directory(), nodeCount, GATEWAYS)) {
      counterFleet = fleet;
      fixture.addGateways(GATEWAYS, i -> fleet.gatewaySettings(i) + COMMON_SETTINGS);
      fixture.gateways.startAll();
      List<TrafficGenerator.Customer> customers = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        customers.add(
            new TrafficGenerator.Customer("over-" + i, "over-" + i, 1.5 * PLAN_UNITS_PER_SECOND));
      }
      for (int i = 0; i < 2; i++) {
        customers.add(
            new TrafficGenerator.Customer("under-" + i, "under-" + i, 0.6 * PLAN_UNITS_PER_SECOND));
      }
      TrafficGenerator traffic =
          new TrafficGenerator(
                  fixture.vertx,
                  new RawHttpClient(fixture.vertx, fixture.recorder),
                  List.of(
                      new TrafficGenerator.RequestKind(
                          "lookup", "GET", "/tours/today", Idempotency.IDEMPOTENT, 1_500_000, 1)),
                  customers,
                  GATEWAYS,
                  fixture.gateways::port,
                  seed)
              .withMaxAttempts(1);
      FaultSchedule schedule = schedule();
      double endSecond = plannedFaults.get(plannedFaults.size() - 1).atSecond + 2 * faultSeconds;
      long startMicros = System.currentTimeMillis() * 1_000;
      traffic.start();
      schedule.runUntil(endSecond, out);
      traffic.stop();
      BadDayScenario.awaitCompletion(traffic);
      ConformanceResult result =
          InvariantChecker.check(
              fixture.recorder.events(), BadDayScenario.conformanceLimits(fixture));
      boolean withinBound = report(fixture.recorder.events(), startMicros);
      if (!result.isConformant()) {
        out.println(result.summaryLine());
      }
      counterFleet.close();
      boolean passed = withinBound && result.isConformant();
      fixture.closeAndCleanUp(passed, out);
      out.println(resultLine);
      return passed;
    }
  }

  private FaultSchedule schedule() {
    FaultSchedule schedule = new FaultSchedule();
    double nextSecond =
        faultSeconds < LONG_FAULT_SECONDS ? SETTLING_SECONDS : LONG_SETTLING_SECONDS;
    nextSecond =
        scheduleFault(
            schedule,
            nextSecond,
            "a node dies",
            CLAIMED_OVERSHOOT_RATIO,
            () -> counterFleet.node(0).kill(),
            () -> counterFleet.node(0).restart());
    nextSecond =
        scheduleFault(
            schedule,
            nextSecond,
            "a node stalls",
            CLAIMED_OVERSHOOT_RATIO,
            () -> counterFleet.stall(lastNodeIndex(), true),
            () -> counterFleet.stall(lastNodeIndex(), false));
    nextSecond =
        scheduleFault(
            schedule,
            nextSecond,
            "split in halves",
            CLAIMED_OVERSHOOT_RATIO,
            () -> counterFleet.partition(0, true),
            () -> counterFleet.partition(0, false));
    if (nodeCount > 1) {
      nextSecond =
          scheduleFault(
              schedule,
              nextSecond,
              "one-way loss",
              CLAIMED_OVERSHOOT_RATIO,
              () -> counterFleet.blockOneWay(0, 1, true),
              () -> counterFleet.blockOneWay(0, 1, false));
      nextSecond =
          scheduleFault(
              schedule,
              nextSecond,
              "replaced by an empty one",
              CLAIMED_OVERSHOOT_RATIO,
              () -> counterFleet.node(2).kill(),
              () -> {
                counterFleet.node(2).deleteState();
                counterFleet.node(2).restart();
              });
    }
    nextSecond =
        scheduleFault(
                schedule,
                nextSecond,
                "rolling upgrade",
                CLAIMED_OVERSHOOT_RATIO * nodeCount,
                this::startRollingUpgrade,
                () -> {})
            + faultSeconds; // The upgrade takes longer than the other faults.
    nextSecond =
        scheduleFault(
            schedule,
            nextSecond,
            "a clock 2 s off",
            CLAIMED_OVERSHOOT_RATIO,
            this::restartWithClockOffset,
            () -> {});
    if (nodeCount > 1) {
      nextSecond =
          scheduleFault(
              schedule,
              nextSecond,
              "split, and a node of the half dies",
              CLAIMED_OVERSHOOT_RATIO,
              () -> {
                counterFleet.partition(0, true);
                counterFleet.node(1).kill();
              },
              () -> {
                counterFleet.partition(0, false);
                counterFleet.node(1).restart();
              });
    }
    if (nodeCount > 1) {
      // From then on, the links to the new node do not pass through the proxies.
      nextSecond =
          scheduleFault(
              schedule,
              nextSecond,
              "a new node by a new list",
              CLAIMED_OVERSHOOT_RATIO,
              () -> counterFleet.replaceLastNode(),
              () -> {});
    }
    // This fault comes last, since after an outage of the whole counter the gateways take some time
    // to ask about every request again.
    scheduleFault(
        schedule,
        nextSecond,
        "all lost, back empty",
        0.5 * (faultSeconds + RECOVERY_SECONDS) / 60 + CLAIMED_OVERSHOOT_RATIO,
        this::killAllNodes,
        () -> {
          for (int i = 0; i < nodeCount; i++) {
            counterFleet.node(i).deleteState();
            counterFleet.node(i).restart();
          }
        });
    return schedule;
  }

  private int lastNodeIndex() {
    return nodeCount - 1;
  }

  private void killAllNodes() throws InterruptedException {
    for (int i = 0; i < nodeCount; i++) {
      counterFleet.node(i).kill();
    }
  }

  /**
   * Restarts the nodes one after the other; each restart waits until counts added at any node reach
   * all others. The upgrade ends after a time limit, so that all nodes run when the next fault
   * starts; on a slow machine the last nodes are not upgraded.
   */
  private void startRollingUpgrade() {
    long deadlineNanos = System.nanoTime() + (long) (2 * faultSeconds * 1e9);
    upgradeThread =
        new Thread(
            () -> {
              int upgradedCount = 0;
              try {
                for (;
                    upgradedCount < nodeCount && System.nanoTime() < deadlineNanos;
                    upgradedCount++) {
                  counterFleet.node(upgradedCount).stop();
                  counterFleet
                      .node(upgradedCount)
                      .start()
                      .get(ChildProcess.START_SECONDS, TimeUnit.SECONDS);
                  while (!counterFleet.isReplicating(System.nanoTime())
                      && System.nanoTime() < deadlineNanos) {
                    Thread.sleep(20);
                  }
                }
                out.println(
                    "         " + upgradedCount + " of " + nodeCount + " nodes were upgraded");
              } catch (IOException | ExecutionException | TimeoutException e) {
                out.println("         a node of the upgrade did not start: " + e.getMessage());
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "upgrade");
    upgradeThread.setDaemon(true);
    upgradeThread.start();
  }

  /** Restarts the last node with a clock offset, after a running upgrade has ended. */
  private void restartWithClockOffset() throws IOException, InterruptedException {
    if (upgradeThread != null) {
      upgradeThread.join(TimeUnit.SECONDS.toMillis(ChildProcess.START_SECONDS));
    }
    counterFleet.node(lastNodeIndex()).kill();
    counterFleet.node(lastNodeIndex()).addJvmOption("-Dfawndock.counter.clock-offset-ms=2000");
    counterFleet.node(lastNodeIndex()).restart();
  }

  private double scheduleFault(
      FaultSchedule schedule,
      double startSecond,
      String name,
      double claimedRatio,
      FaultSchedule.ScheduledAction inject,
      FaultSchedule.ScheduledAction recover) {
    if (!name.contains(nameFilter)) {
      return startSecond;
    }
    plannedFaults.add(
        new PlannedFault(
            name, startSecond, claimedRatio, name.contains("split") ? faultSeconds : 0));
    schedule.at(startSecond, name, inject);
    schedule.at(
        startSecond + faultSeconds,
        "end: " + name,
        () -> {
          recover.run();
          measureRecovery(name);
        });
    return startSecond + 2 * faultSeconds;
  }

  /**
   * Records in the background how long after the end of a fault counts added at any node reach all
   * other nodes again.
   */
  private void measureRecovery(String name) {
    long startNanos = System.nanoTime();
    Thread thread =
        new Thread(
            () -> {
              long deadlineNanos = startNanos + (long) (2 * faultSeconds * 1e9);
              for (long probeId = startNanos;
                  System.nanoTime() < deadlineNanos;
                  probeId = System.nanoTime()) {
                if (counterFleet.isReplicating(probeId)) {
                  recoveryMillis.put(name, (System.nanoTime() - startNanos) / 1_000_000);
                  return;
                }
                try {
                  Thread.sleep(20);
                } catch (InterruptedException e) {
                  return;
                }
              }
            },
            "watches " + name);
    thread.setDaemon(true);
    thread.start();
  }

  private boolean report(List<TraceEvent> trace, long startMicros) throws IOException {
    Map<String, String> customers = new HashMap<>();
    Map<String, List<Double>> usageTimes = new TreeMap<>();
    Map<String, List<Double>> rejectionTimes = new TreeMap<>();
    Set<String> appliedOperations = new HashSet<>();
    for (TraceEvent event : trace) {
      double second = (event.atMicros() - startMicros) / 1e6;
      if (event instanceof TraceEvent.RequestSent sent) {
        customers.put(TraceEvent.operationOf(sent.requestId()), sent.customer());
      } else if (event instanceof TraceEvent.EffectApplied effect
          && appliedOperations.add(TraceEvent.operationOf(effect.requestId()))) {
        String customer = customers.get(TraceEvent.operationOf(effect.requestId()));
        usageTimes.computeIfAbsent(String.valueOf(customer), c -> new ArrayList<>()).add(second);
      } else if (event instanceof TraceEvent.ResponseReceived response
          && response.status() == 429) {
        rejectionTimes
            .computeIfAbsent(
                String.valueOf(customers.get(TraceEvent.operationOf(response.requestId()))),
                c -> new ArrayList<>())
            .add(second);
      }
    }
    double spanSeconds = Math.min(60, 2 * faultSeconds);
    out.printf(
        "use over quota: in the %.0f s from each break on, and as a share of a minute's quota%s; refused: "
            + "answers to customers under their quota%n",
        spanSeconds, spanSeconds < 60 ? ", the use in the rest of the minute assumed even" : "");
    out.printf(
        "%-36s %8s %10s %10s %8s %14s%n",
        "break", "claimed", "of a minute", "from it on", "refused", "recovered in");
    double worstOveruse = -1;
    for (PlannedFault fault : plannedFaults) {
      double overuse =
          maxOveruse(usageTimes, fault.atSecond, fault.atSecond + 2 * faultSeconds, spanSeconds);
      double overuseOfMinute = overuse * spanSeconds / 60;
      worstOveruse = Math.max(worstOveruse, overuseOfMinute);
      long rejectedUnderQuota =
          rejectionTimes.entrySet().stream()
              .filter(e -> e.getKey().startsWith("under"))
              .flatMap(e -> e.getValue().stream())
              .filter(t -> t >= fault.atSecond && t < fault.atSecond + 2 * faultSeconds)
              .count();
      Long recovery = recoveryMillis.get(fault.name);
      // Each half admits what the other left unused before, but never more than the customers send.
      double unusedRatio =
          Math.min(
              0.5, -minOveruse(usageTimes, fault.atSecond - RATE_ESTIMATE_SECONDS, fault.atSecond));
      double claimed =
          fault.claimedRatio
              + fault.partitionSeconds / 60 * (Math.max(0, unusedRatio) + CHANCE_RATIO);
      out.printf(
          "%-36s %7.1f%% %9.1f%% %9.1f%% %8d %14s%n",
          fault.name,
          100 * claimed,
          100 * overuseOfMinute,
          100 * overuse,
          rejectedUnderQuota,
          recovery == null ? "not seen" : recovery + " ms");
    }
    resultLine =
        String.format(
            "worst overshoot %.1f%% of allowance over a minute, %d breaks",
            100 * worstOveruse, plannedFaults.size());
    return worstOveruse <= 0.05;
  }

  /**
   * Returns the lowest overuse between two times among the customers that send more than their
   * quota, as a ratio of the quota; negative if a customer used less.
   */
  private static double minOveruse(
      Map<String, List<Double>> usageTimes, double fromSecond, double toSecond) {
    return usageTimes.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith("over"))
        .mapToDouble(
            entry ->
                entry.getValue().stream()
                            .filter(time -> time >= fromSecond && time < toSecond)
                            .count()
                        / (PLAN_UNITS_PER_SECOND * (toSecond - fromSecond))
                    - 1)
        .min()
        .orElse(-1);
  }

  /**
   * Returns the highest overuse in any span between two times among the customers that send more
   * than their quota, as a ratio of the quota.
   */
  static double maxOveruse(
      Map<String, List<Double>> usageTimes,
      double fromSecond,
      double toSecond,
      double spanSeconds) {
    double worstOveruse = -1;
    for (Map.Entry<String, List<Double>> entry : usageTimes.entrySet()) {
      if (!entry.getKey().startsWith("over")) {
        continue;
      }
      List<Double> times =
          entry.getValue().stream()
              .filter(time -> time >= fromSecond && time <= toSecond)
              .sorted()
              .toList();
      int maxCount = 0;
      for (int first = 0, last = 0; last < times.size(); last++) {
        while (times.get(last) - times.get(first) > spanSeconds) {
          first++;
        }
        maxCount = Math.max(maxCount, last - first + 1);
      }
      worstOveruse = Math.max(worstOveruse, maxCount / (PLAN_UNITS_PER_SECOND * spanSeconds) - 1);
    }
    return worstOveruse;
  }
}
