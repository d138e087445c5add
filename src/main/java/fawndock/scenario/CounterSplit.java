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
 * times their allowance and some that ask less. Use is what the workers ran.
 */
public final class CounterSplit {
  private static final int GATEKEEPERS = 4;
  private static final double RATE = 60;

  /**
   * Three of the counts' windows and more: what was counted before the first break has gone by
   * then.
   */
  private static final double WARM = 7;

  /** Before long breaks: the counter's rates and the workers' caches are even by then. */
  private static final double LONG_WARM = 30;

  private static final double LONG = 5;

  /**
   * The claim of docs/design/counter-replication.md: turning, delay between nodes, two calls, at
   * 1.5 times.
   */
  private static final double CLAIMED = 1.5 * (0.055 + 0.04 + 2 * 0.05) / 60;

  /** Seconds over which the nodes take the rates that they estimate an unheard half by. */
  private static final double RATES_OVER = 8;

  /**
   * Of the allowance, by which the sum of both halves' estimates may be low by chance: two standard
   * deviations.
   */
  private static final double BY_CHANCE = 2 / Math.sqrt(2 * RATE * RATES_OVER);

  /** Seconds until nodes that start empty answer, and gatekeepers ask about every request again. */
  private static final double BACK = 3;

  private static final String COMMON =
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
   * @param claimed of a minute's allowance, but for what the estimate errs by
   * @param split seconds for which halves count without each other
   */
  private record Break(String name, double at, double claimed, double split) {}

  private final int count;
  private final double length;
  private final String only;
  private final long seed;
  private final PrintStream out;
  private final List<Break> breaks = new ArrayList<>();
  private final Map<String, Long> recovered = new HashMap<>();
  private CounterFleet fleet;
  private Thread upgrade;
  private String lastLine = "";

  /**
   * @param nodes 3, or 1 for what it is without others
   * @param length seconds of each break, and about as many after it
   * @param only breaks with this in their names are played
   */
  public CounterSplit(int nodes, double length, String only, long seed, PrintStream out) {
    this.only = only;
    this.count = nodes;
    this.length = length;
    this.seed = seed;
    this.out = out;
  }

  /** How many breaks it has. */
  public int breaks() {
    script();
    int many = breaks.size();
    breaks.clear();
    return many;
  }

  /** Plays it and prints the table; returns whether the worst overshoot is within 5%. */
  public boolean run() throws Exception {
    try (Scene scene = new Scene(BadDay.WORKERS, BadDay.BUILD, seed, false);
        CounterFleet made = new CounterFleet(scene.vertx, scene.folder(), count, GATEKEEPERS)) {
      fleet = made;
      scene.gatekeepers(GATEKEEPERS, i -> made.lines(i) + COMMON);
      scene.gatekeepers.startAll();
      List<Traffic.Customer> customers = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        customers.add(new Traffic.Customer("over-" + i, "over-" + i, 1.5 * RATE));
      }
      for (int i = 0; i < 2; i++) {
        customers.add(new Traffic.Customer("under-" + i, "under-" + i, 0.6 * RATE));
      }
      Traffic traffic =
          new Traffic(
                  scene.vertx,
                  new RawHttpClient(scene.vertx, scene.recorder),
                  List.of(
                      new Traffic.Kind(
                          "lookup", "GET", "/tours/today", Idempotency.IDEMPOTENT, 1_500_000, 1)),
                  customers,
                  GATEKEEPERS,
                  scene.gatekeepers::port,
                  seed)
              .tries(1);
      Script script = script();
      double end = breaks.get(breaks.size() - 1).at + 2 * length;
      long start = System.currentTimeMillis() * 1_000;
      traffic.start();
      script.play(end, out);
      traffic.stop();
      BadDay.awaitEnds(traffic);
      ConformanceResult verdict =
          InvariantChecker.judge(scene.recorder.all(), BadDay.figures(scene));
      boolean within = report(scene.recorder.all(), start, end);
      if (!verdict.kept()) {
        out.println(verdict.line());
      }
      fleet.close();
      boolean kept = within && verdict.kept();
      scene.end(kept, out);
      out.println(lastLine);
      return kept;
    }
  }

  private Script script() {
    Script script = new Script();
    double at = length < LONG ? WARM : LONG_WARM;
    at =
        add(
            script,
            at,
            "a node dies",
            CLAIMED,
            () -> fleet.node(0).kill(),
            () -> fleet.node(0).start());
    at =
        add(
            script,
            at,
            "a node stalls",
            CLAIMED,
            () -> fleet.stall(last(), true),
            () -> fleet.stall(last(), false));
    at =
        add(
            script,
            at,
            "split in halves",
            CLAIMED,
            () -> fleet.split(0, true),
            () -> fleet.split(0, false));
    if (count > 1) {
      at =
          add(
              script,
              at,
              "one-way loss",
              CLAIMED,
              () -> fleet.oneWay(0, 1, true),
              () -> fleet.oneWay(0, 1, false));
      at =
          add(
              script,
              at,
              "replaced by an empty one",
              CLAIMED,
              () -> fleet.node(2).kill(),
              () -> {
                fleet.node(2).empty();
                fleet.node(2).start();
              });
    }
    at =
        add(script, at, "rolling upgrade", CLAIMED * count, this::roll, () -> {})
            + length; // It takes longer.
    at = add(script, at, "a clock 2 s off", CLAIMED, this::setClockOff, () -> {});
    if (count > 1) {
      at =
          add(
              script,
              at,
              "split, and a node of the half dies",
              CLAIMED,
              () -> {
                fleet.split(0, true);
                fleet.node(1).kill();
              },
              () -> {
                fleet.split(0, false);
                fleet.node(1).start();
              });
    }
    if (count > 1) {
      // Links to its nodes are direct from then on.
      at =
          add(script, at, "a new node by a new list", CLAIMED, () -> fleet.replaceLast(), () -> {});
    }
    // Last, since gatekeepers take some time to ask about every request again after a counter that
    // was gone.
    add(
        script,
        at,
        "all lost, back empty",
        0.5 * (length + BACK) / 60 + CLAIMED,
        this::killAll,
        () -> {
          for (int i = 0; i < count; i++) {
            fleet.node(i).empty();
            fleet.node(i).start();
          }
        });
    return script;
  }

  private int last() {
    return count - 1;
  }

  private void killAll() throws InterruptedException {
    for (int i = 0; i < count; i++) {
      fleet.node(i).kill();
    }
  }

  /**
   * Stops and starts one after the other, each when all know what is told to the one before. A slow
   * machine does not come to the last of them: what happens next must find all running.
   */
  private void roll() {
    long stop = System.nanoTime() + (long) (2 * length * 1e9);
    upgrade =
        new Thread(
            () -> {
              int done = 0;
              try {
                for (; done < count && System.nanoTime() < stop; done++) {
                  fleet.node(done).stop();
                  fleet.node(done).start().get(Child.START_SECONDS, TimeUnit.SECONDS);
                  while (!fleet.agrees(System.nanoTime()) && System.nanoTime() < stop) {
                    Thread.sleep(20);
                  }
                }
                out.println("         " + done + " of " + count + " nodes were upgraded");
              } catch (IOException | ExecutionException | TimeoutException e) {
                out.println("         a node of the upgrade did not start: " + e.getMessage());
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "upgrade");
    upgrade.setDaemon(true);
    upgrade.start();
  }

  /** Starts a node again with its clock set off. */
  private void setClockOff() throws IOException, InterruptedException {
    if (upgrade != null) {
      upgrade.join(TimeUnit.SECONDS.toMillis(Child.START_SECONDS));
    }
    fleet.node(last()).kill();
    fleet.node(last()).option("-Dfawndock.counter.clock-offset-ms=2000");
    fleet.node(last()).start();
  }

  private double add(
      Script script,
      double at,
      String name,
      double claimed,
      Script.Happening begin,
      Script.Happening end) {
    if (!name.contains(only)) {
      return at;
    }
    breaks.add(new Break(name, at, claimed, name.contains("split") ? length : 0));
    script.at(at, name, begin);
    script.at(
        at + length,
        "end: " + name,
        () -> {
          end.happen();
          watch(name);
        });
    return at + 2 * length;
  }

  /** Notes how long after its end all nodes know what is told to each. */
  private void watch(String name) {
    long begun = System.nanoTime();
    Thread watcher =
        new Thread(
            () -> {
              long limit = begun + (long) (2 * length * 1e9);
              for (long round = begun; System.nanoTime() < limit; round = System.nanoTime()) {
                if (fleet.agrees(round)) {
                  recovered.put(name, (System.nanoTime() - begun) / 1_000_000);
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

  private boolean report(List<TraceEvent> trace, long start, double end) throws IOException {
    Map<String, String> customers = new HashMap<>();
    Map<String, List<Double>> used = new TreeMap<>();
    Map<String, List<Double>> refused = new TreeMap<>();
    Set<String> ran = new HashSet<>();
    for (TraceEvent seen : trace) {
      double at = (seen.at() - start) / 1e6;
      if (seen instanceof TraceEvent.Asked a) {
        customers.put(InvariantChecker.operation(a.request()), a.customer());
      } else if (seen instanceof TraceEvent.Ran r
          && ran.add(InvariantChecker.operation(r.request()))) {
        String customer = customers.get(InvariantChecker.operation(r.request()));
        used.computeIfAbsent(String.valueOf(customer), c -> new ArrayList<>()).add(at);
      } else if (seen instanceof TraceEvent.Answered a && a.status() == 429) {
        refused
            .computeIfAbsent(
                String.valueOf(customers.get(InvariantChecker.operation(a.request()))),
                c -> new ArrayList<>())
            .add(at);
      }
    }
    double span = Math.min(60, 2 * length);
    out.printf(
        "use over allowance: in the %.0f s from each break on, and as a share of a minute's allowance%s; refused: "
            + "answers to agencies under theirs%n",
        span, span < 60 ? ", the rest of the minute taken as even" : "");
    out.printf(
        "%-36s %8s %10s %10s %8s %14s%n",
        "break", "claimed", "of a minute", "from it on", "refused", "recovered in");
    double worst = -1;
    for (Break each : breaks) {
      double from = over(used, each.at, each.at + 2 * length, span);
      double byMinute = from * span / 60;
      worst = Math.max(worst, byMinute);
      long under =
          refused.entrySet().stream()
              .filter(e -> e.getKey().startsWith("under"))
              .flatMap(e -> e.getValue().stream())
              .filter(t -> t >= each.at && t < each.at + 2 * length)
              .count();
      Long took = recovered.get(each.name);
      // Each half lets in what the other did not use before; more than is asked for it cannot.
      double unused = Math.min(0.5, -under(used, each.at - RATES_OVER, each.at));
      double claimed = each.claimed + each.split / 60 * (Math.max(0, unused) + BY_CHANCE);
      out.printf(
          "%-36s %7.1f%% %9.1f%% %9.1f%% %8d %14s%n",
          each.name,
          100 * claimed,
          100 * byMinute,
          100 * from,
          under,
          took == null ? "not seen" : took + " ms");
    }
    lastLine =
        String.format(
            "worst overshoot %.1f%% of allowance over a minute, %d breaks",
            100 * worst, breaks.size());
    return worst <= 0.05;
  }

  /**
   * By how much the least of the customers that ask for more used more than its allowance between
   * two times.
   */
  private static double under(Map<String, List<Double>> used, double from, double to) {
    return used.entrySet().stream()
        .filter(e -> e.getKey().startsWith("over"))
        .mapToDouble(
            e ->
                e.getValue().stream().filter(t -> t >= from && t < to).count()
                        / (RATE * (to - from))
                    - 1)
        .min()
        .orElse(-1);
  }

  /** The most by which any customer was over its allowance in a span, between two times. */
  static double over(Map<String, List<Double>> used, double from, double to, double span) {
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
      worst = Math.max(worst, most / (RATE * span) - 1);
    }
    return worst;
  }
}
