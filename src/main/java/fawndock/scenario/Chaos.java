package fawndock.scenario;

import fawndock.conformance.InvariantChecker;
import fawndock.fake.FakeBackend;
import fawndock.fake.RawHttpClient;
import java.io.PrintStream;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Troubles drawn at random over the bad day's gatekeepers, workers, counter and roster, as many at
 * once as come about. A seed draws the same troubles at the same times; what the machine makes of
 * them differs.
 */
public final class Chaos {
  private static final double GAP = 0.8;
  private static final double QUIET_END = 3;
  private final int seconds;
  private final int nodes;
  private final SplittableRandom random;
  private final long seed;
  private final PrintStream out;
  private final Script script = new Script();
  private final TreeSet<String> struck = new TreeSet<>();
  private CounterFleet fleet;

  /**
   * @param seconds how long, from 10
   * @param nodes counter nodes that stand in for each other, or 1 for a counter alone
   */
  public Chaos(int seconds, int nodes, long seed, PrintStream out) {
    this.seconds = seconds;
    this.nodes = nodes;
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.out = out;
  }

  /** Plays it; returns whether every rule was kept. */
  public boolean run() throws Exception {
    try (Scene scene = new Scene(BadDay.WORKERS, BadDay.BUILD, seed, nodes == 1);
        CounterFleet made =
            nodes == 1
                ? null
                : new CounterFleet(scene.vertx, scene.folder(), nodes, BadDay.GATEKEEPERS)) {
      fleet = made;
      if (fleet == null) {
        scene.gatekeepers(BadDay.GATEKEEPERS, BadDay.COMMON);
      } else {
        scene.gatekeepers(BadDay.GATEKEEPERS, i -> fleet.lines(i) + BadDay.COMMON);
      }
      scene.gatekeepers.startAll();
      Traffic traffic =
          new Traffic(
              scene.vertx,
              new RawHttpClient(scene.vertx, scene.recorder),
              BadDay.kinds(),
              BadDay.customers(),
              BadDay.GATEKEEPERS,
              scene.gatekeepers::port,
              seed);
      traffic.factor(0.1);
      traffic.start();
      script.at(1.5, "traffic is at its full height", () -> traffic.factor(1));
      for (double at = 2; at < seconds - QUIET_END; at += GAP * (0.5 + random.nextDouble())) {
        draw(at, scene, traffic);
      }
      script.play(seconds, out);
      traffic.stop();
      BadDay.awaitEnds(traffic);
      if (fleet != null) {
        fleet.close(); // Before its folder goes.
      }
      return scene.conclude(
          InvariantChecker.judge(scene.recorder.all(), BadDay.figures(scene)), out);
    }
  }

  private void draw(double at, Scene s, Traffic traffic) {
    double length = 0.5 + 5 * random.nextDouble();
    double end = Math.min(at + length, seconds - QUIET_END);
    int worker = random.nextInt(BadDay.WORKERS);
    double share = 0.1 + 0.5 * random.nextDouble();
    int gatekeeper = random.nextInt(BadDay.GATEKEEPERS);
    switch (random.nextInt(13)) {
      case 0, 1 ->
          strike(
              "gatekeeper",
              "gatekeeper " + gatekeeper + " is killed",
              at,
              end,
              () -> s.gatekeepers.kill(gatekeeper),
              () -> s.gatekeepers.start(gatekeeper));
      case 2 -> fault(s, worker, "slow", at, end, f -> f.slow = 2 + 10 * share, f -> f.slow = 1);
      case 3 -> fault(s, worker, "silent", at, end, f -> f.silent = true, f -> f.silent = false);
      case 4 ->
          fault(
              s,
              worker,
              "losing answers",
              at,
              end,
              f -> f.loseAnswers = share,
              f -> f.loseAnswers = 0);
      case 5 -> fault(s, worker, "resetting", at, end, f -> f.resets = share, f -> f.resets = 0);
      case 6 -> fault(s, worker, "refusing", at, end, f -> f.refuses = share, f -> f.refuses = 0);
      case 7 -> fault(s, worker, "failing", at, end, f -> f.errors = share, f -> f.errors = 0);
      case 8 ->
          strike(
              "worker-" + worker,
              "worker-" + worker + " drains, dies and comes back cold",
              at,
              end,
              () -> {
                s.roster.tell(s.entry(worker, "stopping"));
                s.workers.get(worker).drain();
              },
              () ->
                  s.workers
                      .get(worker)
                      .die()
                      .compose(v -> s.workers.get(worker).start(true))
                      .onSuccess(p -> s.roster.tell(s.entry(worker, "running"))));
      case 9, 10 -> {
        if (fleet == null) {
          drawCounter(at, end, share, s);
        } else {
          drawNode(at, end, share);
        }
      }
      case 11 ->
          strike(
              "roster",
              "the roster is cut off",
              at,
              end,
              () -> s.roster.cut(true),
              () -> s.roster.cut(false));
      default ->
          strike(
              "traffic",
              "twice the traffic, some clients leave early",
              at,
              end,
              () -> {
                traffic.factor(2);
                traffic.leaving(share / 3);
              },
              () -> {
                traffic.factor(1);
                traffic.leaving(0);
              });
    }
  }

  private void drawCounter(double at, double end, double share, Scene s) {
    if (random.nextBoolean()) {
      strike(
          "counter",
          "the counter is silent",
          at,
          end,
          () -> s.counter.silent(true),
          () -> s.counter.silent(false));
      return;
    }
    boolean empty = share < 0.3;
    strike(
        "counter",
        "the counter is killed" + (empty ? ", and comes back empty" : ""),
        at,
        end,
        s.counter::stop,
        () -> {
          if (empty) {
            s.counter.empty();
          }
          s.counter.start();
        });
  }

  /** Each node may have its trouble while others have theirs; a split takes all of them. */
  private void drawNode(double at, double end, double share) {
    int node = random.nextInt(nodes);
    int other = (node + 1 + random.nextInt(nodes - 1)) % nodes;
    boolean empty = share < 0.3;
    switch (random.nextInt(4)) {
      case 0 ->
          strike(
              "split",
              "counter node " + node + " and some gatekeepers are split off",
              at,
              end,
              () -> fleet.split(node, true),
              () -> fleet.split(node, false));
      case 1 ->
          strike(
              "split",
              "counter node " + node + " is not heard by " + other,
              at,
              end,
              () -> fleet.oneWay(node, other, true),
              () -> fleet.oneWay(node, other, false));
      default ->
          strike(
              "node-" + node,
              "counter node " + node + " is killed" + (empty ? ", and comes back empty" : ""),
              at,
              end,
              () -> fleet.node(node).kill(),
              () -> {
                if (empty) {
                  fleet.node(node).empty();
                }
                fleet.node(node).start();
              });
    }
  }

  private void fault(
      Scene s,
      int worker,
      String what,
      double at,
      double end,
      Consumer<FakeBackend.Faults> on,
      Consumer<FakeBackend.Faults> off) {
    strike(
        "worker-" + worker,
        "worker-" + worker + " is " + what,
        at,
        end,
        () -> s.workers.get(worker).change(on),
        () -> s.workers.get(worker).change(off));
  }

  /** One thing has one trouble at a time; what is drawn for it meanwhile falls away. */
  private void strike(
      String whom, String what, double at, double end, Script.Happening on, Script.Happening off) {
    boolean[] mine = {false};
    script.at(
        at,
        what,
        () -> {
          mine[0] = struck.add(whom);
          if (mine[0]) {
            on.happen();
          }
        });
    script.at(
        end,
        "end: " + what,
        () -> {
          if (mine[0]) {
            struck.remove(whom);
            off.happen();
          }
        });
  }
}
