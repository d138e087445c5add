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
 * Counter nodes that die, stall, are split and come back, under agencies that ask one and a half
 * times their allowance and some that ask less. Use is what the backends ran.
 */
public final class CounterPartitionScenario {
  private static final int GATEWAYS = 4;
  private static final double PLAN_UNITS_PER_SECOND = 60;

  /**
   * Three of the counts' windows and more: what was counted before the first break has gone by
   * then.
   */
  private static final double SETTLING_SECONDS = 7;

  /** Before long breaks: the counter's rates and the backends' caches are even by then. */
  private static final double LONG_SETTLING_SECONDS = 30;

  private static final double LONG_FAULT_SECONDS = 5;

  /**
   * The claim of docs/design/counter-replication.md: turning, delay between nodes, two calls, at
   * 1.5 times.
   */
  private static final double CLAIMED_OVERSHOOT_RATIO = 1.5 * (0.055 + 0.04 + 2 * 0.05) / 60;

  /** Seconds over which the nodes take the rates that they estimate an unheard half by. */
  private static final double RATE_ESTIMATE_SECONDS = 8;

  /**
   * Of the allowance, by which the sum of both halves' estimates may be low by chance: two standard
   * deviations.
   */
  private static final double CHANCE_RATIO =
      2 / Math.sqrt(2 * PLAN_UNITS_PER_SECOND * RATE_ESTIMATE_SECONDS);

  /** Seconds until nodes that start empty answer, and gateways ask about every request again. */
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
   * @param claimedRatio of a minute's allowance, but for what the estimate errs by
   * @param partitionSeconds seconds for which halves count without each other
   */
  private record PlannedFault(
      String name, double atSecond, double claimedRatio, double partitionSeconds) {}

  private final int nodeCount;
  private final double faultSeconds;
  private final String nameFilter;
  private final long seed;
  private final PrintStream out;
  private final List<PlannedFault> faultCount = new ArrayList<>();
  private final Map<String, Long> recoveryMillis = new HashMap<>();
  private CounterFleetFixture counterFleet;
  private Thread upgradeThread;
  private String resultLine = "";

  /**
   * @param nodes 3, or 1 for what it is without others
   * @param length seconds of each break, and about as many after it
   * @param only breaks with this in their names are played
   */
  public CounterPartitionScenario(
      int nodes, double length, String only, long seed, PrintStream out) {
    this.nameFilter = only;
    this.nodeCount = nodes;
    this.faultSeconds = length;
    this.seed = seed;
    this.out = out;
  }

  /** How many breaks it has. */
  public int faultCount() {
    schedule();
    int many = faultCount.size();
    faultCount.clear();
    return many;
  }

  /** Plays it and prints the table; returns whether the worst overshoot is within 5%. */
  public boolean run() throws Exception {
    try (FleetFixture scene =
            new FleetFixture(BadDayScenario.BACKENDS, BadDayScenario.BACKEND_CONFIG, seed, false);
        CounterFleetFixture made =
            new CounterFleetFixture(scene.vertx, scene.directory(), nodeCount, GATEWAYS)) {
      counterFleet = made;
      scene.addGateways(GATEWAYS, i -> made.gatewaySettings(i) + COMMON_SETTINGS);
      scene.gateways.startAll();
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
                  scene.vertx,
                  new RawHttpClient(scene.vertx, scene.recorder),
                  List.of(
                      new TrafficGenerator.RequestKind(
                          "lookup", "GET", "/tours/today", Idempotency.IDEMPOTENT, 1_500_000, 1)),
                  customers,
                  GATEWAYS,
                  scene.gateways::port,
                  seed)
              .withMaxAttempts(1);
      FaultSchedule script = schedule();
      double end = faultCount.get(faultCount.size() - 1).atSecond + 2 * faultSeconds;
      long start = System.currentTimeMillis() * 1_000;
      traffic.start();
      script.runUntil(end, out);
      traffic.stop();
      BadDayScenario.awaitCompletion(traffic);
      ConformanceResult verdict =
          InvariantChecker.check(scene.recorder.events(), BadDayScenario.conformanceLimits(scene));
      boolean within = report(scene.recorder.events(), start);
      if (!verdict.isConformant()) {
        out.println(verdict.summaryLine());
      }
      counterFleet.close();
      boolean kept = within && verdict.isConformant();
      scene.closeAndCleanUp(kept, out);
      out.println(resultLine);
      return kept;
    }
  }

  private FaultSchedule schedule() {
    FaultSchedule script = new FaultSchedule();
    double at = faultSeconds < LONG_FAULT_SECONDS ? SETTLING_SECONDS : LONG_SETTLING_SECONDS;
    at =
        scheduleFault(
            script,
            at,
            "a node dies",
            CLAIMED_OVERSHOOT_RATIO,
            () -> counterFleet.node(0).kill(),
            () -> counterFleet.node(0).restart());
    at =
        scheduleFault(
            script,
            at,
            "a node stalls",
            CLAIMED_OVERSHOOT_RATIO,
            () -> counterFleet.stall(lastNode(), true),
            () -> counterFleet.stall(lastNode(), false));
    at =
        scheduleFault(
            script,
            at,
            "split in halves",
            CLAIMED_OVERSHOOT_RATIO,
            () -> counterFleet.partition(0, true),
            () -> counterFleet.partition(0, false));
    if (nodeCount > 1) {
      at =
          scheduleFault(
              script,
              at,
              "one-way loss",
              CLAIMED_OVERSHOOT_RATIO,
              () -> counterFleet.blockOneWay(0, 1, true),
              () -> counterFleet.blockOneWay(0, 1, false));
      at =
          scheduleFault(
              script,
              at,
              "replaced by an empty one",
              CLAIMED_OVERSHOOT_RATIO,
              () -> counterFleet.node(2).kill(),
              () -> {
                counterFleet.node(2).deleteState();
                counterFleet.node(2).restart();
              });
    }
    at =
        scheduleFault(
                script,
                at,
                "rolling upgrade",
                CLAIMED_OVERSHOOT_RATIO * nodeCount,
                this::startRollingUpgrade,
                () -> {})
            + faultSeconds; // It takes longer.
    at =
        scheduleFault(
            script, at, "a clock 2 s off", CLAIMED_OVERSHOOT_RATIO, this::setClockOff, () -> {});
    if (nodeCount > 1) {
      at =
          scheduleFault(
              script,
              at,
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
      // Links to its nodes are direct from then on.
      at =
          scheduleFault(
              script,
              at,
              "a new node by a new list",
              CLAIMED_OVERSHOOT_RATIO,
              () -> counterFleet.replaceLast(),
              () -> {});
    }
    // Last, since gateways take some time to ask about every request again after a counter that
    // was gone.
    scheduleFault(
        script,
        at,
        "all lost, back empty",
        0.5 * (faultSeconds + RECOVERY_SECONDS) / 60 + CLAIMED_OVERSHOOT_RATIO,
        this::killAll,
        () -> {
          for (int i = 0; i < nodeCount; i++) {
            counterFleet.node(i).deleteState();
            counterFleet.node(i).restart();
          }
        });
    return script;
  }

  private int lastNode() {
    return nodeCount - 1;
  }

  private void killAll() throws InterruptedException {
    for (int i = 0; i < nodeCount; i++) {
      counterFleet.node(i).kill();
    }
  }

  /**
   * Stops and starts one after the other, each when all know what is told to the one before. A slow
   * machine does not come to the last of them: what happens next must find all running.
   */
  private void startRollingUpgrade() {
    long stop = System.nanoTime() + (long) (2 * faultSeconds * 1e9);
    upgradeThread =
        new Thread(
            () -> {
              int done = 0;
              try {
                for (; done < nodeCount && System.nanoTime() < stop; done++) {
                  counterFleet.node(done).stop();
                  counterFleet.node(done).start().get(ChildProcess.START_SECONDS, TimeUnit.SECONDS);
                  while (!counterFleet.isReplicating(System.nanoTime())
                      && System.nanoTime() < stop) {
                    Thread.sleep(20);
                  }
                }
                out.println("         " + done + " of " + nodeCount + " nodes were upgraded");
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

  /** Starts a node again with its clock set off. */
  private void setClockOff() throws IOException, InterruptedException {
    if (upgradeThread != null) {
      upgradeThread.join(TimeUnit.SECONDS.toMillis(ChildProcess.START_SECONDS));
    }
    counterFleet.node(lastNode()).kill();
    counterFleet.node(lastNode()).addJvmOption("-Dfawndock.counter.clock-offset-ms=2000");
    counterFleet.node(lastNode()).restart();
  }

  private double scheduleFault(
      FaultSchedule script,
      double at,
      String name,
      double claimed,
      FaultSchedule.ScheduledAction begin,
      FaultSchedule.ScheduledAction end) {
    if (!name.contains(nameFilter)) {
      return at;
    }
    faultCount.add(new PlannedFault(name, at, claimed, name.contains("split") ? faultSeconds : 0));
    script.at(at, name, begin);
    script.at(
        at + faultSeconds,
        "end: " + name,
        () -> {
          end.run();
          watchRecovery(name);
        });
    return at + 2 * faultSeconds;
  }

  /** Notes how long after its end all nodes know what is told to each. */
  private void watchRecovery(String name) {
    long begun = System.nanoTime();
    Thread watcher =
        new Thread(
            () -> {
              long limit = begun + (long) (2 * faultSeconds * 1e9);
              for (long round = begun; System.nanoTime() < limit; round = System.nanoTime()) {
                if (counterFleet.isReplicating(round)) {
                  recoveryMillis.put(name, (System.nanoTime() - begun) / 1_000_000);
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
    watcher.setDaemon(true);
    watcher.start();
  }

  private boolean report(List<TraceEvent> trace, long start) throws IOException {
    Map<String, String> customers = new HashMap<>();
    Map<String, List<Double>> used = new TreeMap<>();
    Map<String, List<Double>> refused = new TreeMap<>();
    Set<String> ran = new HashSet<>();
    for (TraceEvent seen : trace) {
      double at = (seen.atMicros() - start) / 1e6;
      if (seen instanceof TraceEvent.RequestSent a) {
        customers.put(TraceEvent.operationOf(a.requestId()), a.customer());
      } else if (seen instanceof TraceEvent.EffectApplied r
          && ran.add(TraceEvent.operationOf(r.requestId()))) {
        String customer = customers.get(TraceEvent.operationOf(r.requestId()));
        used.computeIfAbsent(String.valueOf(customer), c -> new ArrayList<>()).add(at);
      } else if (seen instanceof TraceEvent.ResponseReceived a && a.status() == 429) {
        refused
            .computeIfAbsent(
                String.valueOf(customers.get(TraceEvent.operationOf(a.requestId()))),
                c -> new ArrayList<>())
            .add(at);
      }
    }
    double span = Math.min(60, 2 * faultSeconds);
    out.printf(
        "use over allowance: in the %.0f s from each break on, and as a share of a minute's allowance%s; refused: "
            + "answers to agencies under theirs%n",
        span, span < 60 ? ", the rest of the minute taken as even" : "");
    out.printf(
        "%-36s %8s %10s %10s %8s %14s%n",
        "break", "claimed", "of a minute", "from it on", "refused", "recovered in");
    double worst = -1;
    for (PlannedFault each : faultCount) {
      double from = maxOveruse(used, each.atSecond, each.atSecond + 2 * faultSeconds, span);
      double byMinute = from * span / 60;
      worst = Math.max(worst, byMinute);
      long under =
          refused.entrySet().stream()
              .filter(e -> e.getKey().startsWith("under"))
              .flatMap(e -> e.getValue().stream())
              .filter(t -> t >= each.atSecond && t < each.atSecond + 2 * faultSeconds)
              .count();
      Long took = recoveryMillis.get(each.name);
      // Each half lets in what the other did not use before; more than is asked for it cannot.
      double unused =
          Math.min(0.5, -minOveruse(used, each.atSecond - RATE_ESTIMATE_SECONDS, each.atSecond));
      double claimed =
          each.claimedRatio + each.partitionSeconds / 60 * (Math.max(0, unused) + CHANCE_RATIO);
      out.printf(
          "%-36s %7.1f%% %9.1f%% %9.1f%% %8d %14s%n",
          each.name,
          100 * claimed,
          100 * byMinute,
          100 * from,
          under,
          took == null ? "not seen" : took + " ms");
    }
    resultLine =
        String.format(
            "worst overshoot %.1f%% of allowance over a minute, %d breaks",
            100 * worst, faultCount.size());
    return worst <= 0.05;
  }

  /**
   * By how much the least of the customers that ask for more used more than its allowance between
   * two times.
   */
  private static double minOveruse(Map<String, List<Double>> used, double from, double to) {
    return used.entrySet().stream()
        .filter(e -> e.getKey().startsWith("over"))
        .mapToDouble(
            e ->
                e.getValue().stream().filter(t -> t >= from && t < to).count()
                        / (PLAN_UNITS_PER_SECOND * (to - from))
                    - 1)
        .min()
        .orElse(-1);
  }

  /** The most by which any customer was over its allowance in a span, between two times. */
  static double maxOveruse(Map<String, List<Double>> used, double from, double to, double span) {
    double worst = -1;
    for (Map.Entry<String, List<Double>> each : used.entrySet()) {
      if (!each.getKey().startsWith("over")) {
        continue;
      }
      List<Double> at =
          each.getValue().stream().filter(t -> t >= from && t <= to).sorted().toList();
      int most = 0;
      for (int first = 0, last = 0; last < at.size(); last++) {
        while (at.get(last) - at.get(first) > span) {
          first++;
        }
        most = Math.max(most, last - first + 1);
      }
      worst = Math.max(worst, most / (PLAN_UNITS_PER_SECOND * span) - 1);
    }
    return worst;
  }
}
