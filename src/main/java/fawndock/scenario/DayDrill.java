package fawndock.scenario;

import fawndock.conformance.ConformanceLimits;
import fawndock.conformance.ConformanceResult;
import fawndock.conformance.InvariantChecker;
import fawndock.conformance.PriorityWeights;
import fawndock.conformance.TraceEvent;
import fawndock.fake.FakeBackend;
import fawndock.fake.RawHttpClient;
import fawndock.policy.config.Idempotency;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Plays the kinds of trouble of a bench day on loopback, at the day's own speed: four gatekeepers
 * and twelve workers stand for all of them; parts of the fleet, sizes, times, plans and load are
 * the day's.
 */
public final class DayDrill {
  private static final int GATEKEEPERS = 4;
  private static final int WORKERS = 12;
  private static final int SPREAD = 3;
  private static final double LONGEST = 120;
  private final DayFile day;
  private final PrintStream out;
  private final SplittableRandom random;
  private final TreeSet<Integer> untouched = new TreeSet<>();
  private final List<String> unknown = new ArrayList<>();

  public DayDrill(DayFile day, long seed, PrintStream out) {
    this.day = day;
    this.out = out;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < WORKERS; i++) {
      untouched.add(i);
    }
  }

  /** Plays the day; prints its troubles, how it was served and the verdict. */
  public boolean run() throws Exception {
    double work =
        day.kinds().stream().mapToDouble(k -> k.share() * k.workMicros()).sum()
            / day.kinds().stream().mapToDouble(DayFile.Kind::share).sum();
    FakeBackend.Build build =
        new FakeBackend.Build(
            day.server().cores(),
            (long) work,
            day.server().queue(),
            day.server().coldShare(),
            (long) day.server().coldMicros(),
            day.fallMultiple(),
            (long) day.fallMicros());
    try (Scene scene = new Scene(WORKERS, build, 1)) {
      List<Traffic.Customer> customers = new ArrayList<>();
      String settings = settings(customers, WORKERS * day.server().cores() * 1e6 / work);
      scene.gatekeepers(GATEKEEPERS, settings);
      scene.gatekeepers.startAll();
      Traffic traffic =
          new Traffic(
                  scene.vertx,
                  new RawHttpClient(scene.vertx, scene.recorder),
                  day.kinds().stream()
                      .map(
                          k ->
                              new Traffic.Kind(
                                  k.name(),
                                  "GET",
                                  "/" + k.name(),
                                  k.repeat(),
                                  k.deadlineMicros(),
                                  k.share()))
                      .toList(),
                  customers,
                  GATEKEEPERS,
                  scene.gatekeepers::port,
                  1)
              .tries(1 + Math.min(3, day.retries()))
              .through(SPREAD);
      out.printf(
          "%s: %d gatekeepers and %d servers stand for %d and %d; %d customers%n",
          day.name(), GATEKEEPERS, WORKERS, day.gatekeepers(), day.servers(), customers.size());
      traffic.start();
      script(scene, traffic).play(Math.min(LONGEST, day.seconds()), out);
      traffic.stop();
      BadDay.awaitEnds(traffic);
      List<TraceEvent> trace = scene.recorder.all();
      ConformanceLimits figures = BadDay.figures(scene);
      ConformanceResult verdict = InvariantChecker.judge(trace, figures);
      out.printf(
          "served %d, refused %d, failed %d, no answer %d%n",
          traffic.ended(200),
          traffic.ended(429),
          traffic.ended(502) + traffic.ended(504),
          traffic.ended(0));
      out.printf(
          "worth served within its aim, of what was asked inside quotas: %.2f%n",
          PriorityWeights.judge(trace, figures));
      unknown.forEach(k -> out.println("not played, no such kind here: " + k));
      return scene.conclude(verdict, out);
    }
  }

  /**
   * Settings with the day's classes and plans, and customers that use their quotas as the day says.
   */
  private String settings(List<Traffic.Customer> customers, double capacity) {
    StringBuilder text = new StringBuilder();
    for (DayFile.Kind k : day.kinds()) {
      text.append(
          String.format(
              Locale.ROOT,
              "class %s aim %dus deadline %dus repeat %s%s%nroute GET /%s %s%n",
              k.name(),
              k.aimMicros(),
              k.deadlineMicros(),
              k.repeat().name().toLowerCase(Locale.ROOT).replace('_', '-'),
              k.repeat() == Idempotency.DEDUPLICATED
                  ? " group all window " + k.windowMicros() + "us"
                  : "",
              k.name(),
              k.name()));
    }
    for (DayFile.PlanOf p : day.plans()) {
      if (p.rate() > 0) {
        text.append(
            String.format(
                Locale.ROOT,
                "plan %s rate %.3f store %.3f pays %.2f%n",
                p.name(),
                p.rate(),
                Math.max(1, p.store()),
                p.pays()));
      } else {
        text.append(String.format(Locale.ROOT, "plan %s rate 0 pays %.2f%n", p.name(), p.pays()));
      }
      double inside = p.share() * day.load() * capacity;
      for (int i = 0; inside > 0 && i < 500; i++) {
        double dice = random.nextDouble();
        double rate = p.rate() > 0 ? p.rate() : 5;
        double asks =
            dice < day.heavy()
                ? 2 + 2 * random.nextDouble()
                : dice < day.heavy() + day.full() ? 0.95 : day.calm() * (0.5 + random.nextDouble());
        String name = p.name() + "-" + i;
        text.append(
            String.format(
                Locale.ROOT,
                "key key-%s customer %s plan %s first %d spread %d%n",
                name,
                name,
                p.name(),
                Math.floorMod(name.hashCode(), GATEKEEPERS),
                SPREAD));
        customers.add(new Traffic.Customer(name, "key-" + name, asks * rate));
        inside -= Math.min(1, asks) * rate;
      }
    }
    return text.append(
            String.format(
                Locale.ROOT,
                "limits attempts 4 open 5000%nrules answer-grace 10ms drain-grace "
                    + "%.0fus cold-share %.3f cold-time %.0fus fall-multiple %.2f fall-time %.0fus%n",
                day.drainGraceMicros(),
                day.server().coldShare(),
                day.server().coldMicros(),
                day.fallMultiple(),
                day.fallMicros()))
        .append("log text level info\n")
        .toString();
  }

  private Script script(Scene s, Traffic traffic) {
    Script script = new Script();
    for (DayFile.Trouble t : day.troubles()) {
      play(t, script, s, traffic);
    }
    return script;
  }

  private void play(DayFile.Trouble t, Script script, Scene s, Traffic traffic) {
    List<Integer> on = workers(t.part());
    String what =
        String.format(Locale.ROOT, "%s, size %.2f, %d workers", t.kind(), t.size(), on.size());
    switch (t.kind()) {
      case "slow", "ageing" ->
          during(
              t,
              what,
              script,
              () -> faults(s, on, f -> f.slow = Math.max(1, t.size())),
              () -> faults(s, on, f -> f.slow = 1));
      case "shared_slow" ->
          during(
              t,
              what,
              script,
              () -> faults(s, workers(1), f -> f.slow = t.size()),
              () -> faults(s, workers(1), f -> f.slow = 1));
      case "answer_lost" ->
          during(
              t,
              what,
              script,
              () -> faults(s, on, f -> f.loseAnswers = t.size()),
              () -> faults(s, on, f -> f.loseAnswers = 0));
      case "vanish" ->
          during(
              t,
              what,
              script,
              () -> faults(s, on, f -> f.silent = true),
              () -> {
                faults(s, on, f -> f.silent = false);
                on.forEach(i -> restart(s, i));
              });
      case "burst" ->
          during(
              t,
              what,
              script,
              () -> traffic.factor(Math.max(1, t.size())),
              () -> traffic.factor(1));
      case "tenant_burst" -> {
        String plan = day.plans().get(Math.floorMod(t.which(), day.plans().size())).name() + "-";
        during(
            t,
            what + " of " + plan,
            script,
            () -> traffic.factorOf(plan, t.size()),
            () -> traffic.factorOf(plan, 1));
      }
      case "hot_caller" ->
          during(t, what, script, () -> traffic.hot(t.size()), () -> traffic.hot(0));
      case "reconnect" -> script.at(t.at(), what, traffic::shift);
      case "retry_abuse" ->
          during(t, what, script, () -> traffic.abuse(true), () -> traffic.abuse(false));
      case "give_up" ->
          during(
              t,
              what,
              script,
              () -> traffic.leaving(Math.min(0.5, t.size())),
              () -> traffic.leaving(0));
      case "origin_slow" ->
          during(
              t,
              what,
              script,
              () -> s.counter.slow(Math.round(1.5 * t.size())),
              () -> s.counter.slow(0));
      case "flush" -> script.at(t.at(), what, () -> s.counter.lose(Math.min(1, t.size())));
      case "counter_down" -> counterDown(t, what, script, s);
      case "shrink", "deploy" -> fleet(t, what, script, s, traffic);
      default -> unknown.add(t.kind());
    }
  }

  private void counterDown(DayFile.Trouble t, String what, Script script, Scene s) {
    boolean refuses = t.how().contains("refus") || t.how().isEmpty() && t.size() > 0.5;
    during(
        t,
        what + (refuses ? ", refusing" : ", silent"),
        script,
        () -> {
          if (refuses) {
            s.counter.stop();
          } else {
            s.counter.silent(true);
          }
        },
        () -> {
          boolean empty = t.extra() > 0.5 || t.how().contains("empty");
          if (refuses && empty) {
            s.counter.empty();
          } else if (empty) {
            s.counter.lose(1);
          }
          if (refuses) {
            s.counter.start();
          }
          s.counter.silent(false);
        });
  }

  /** Workers drain and end, in the day's steps; in a deploy a cold one takes each one's place. */
  private void fleet(DayFile.Trouble t, String what, Script script, Scene s, Traffic traffic) {
    boolean deploy = t.kind().equals("deploy");
    double grace = Math.max(2, day.drainGraceMicros() / 1e6);
    double owed = 0;
    if (!deploy) {
      script.at(
          t.at(),
          "traffic falls to " + Math.round(100 / Math.max(1, t.size())) + "%",
          () -> traffic.factor(1 / Math.max(1, t.size())));
      script.at(t.at() + t.seconds(), "traffic is back", () -> traffic.factor(1));
    }
    for (DayFile.Step step : t.steps()) {
      owed += step.stop() * WORKERS;
      List<Integer> going = workers(Math.floor(owed) / WORKERS);
      owed -= going.size();
      if (going.isEmpty()) {
        continue;
      }
      script.at(
          step.at(),
          what + ": workers " + going + " drain",
          () ->
              going.forEach(
                  i -> {
                    s.roster.tell(s.entry(i, "stopping"));
                    s.workers.get(i).drain();
                  }));
      script.at(
          step.at() + grace + 1,
          "workers " + going + (deploy ? " start again, cold" : " are gone"),
          () ->
              going.forEach(
                  i -> {
                    if (deploy) {
                      restart(s, i);
                    } else {
                      s.roster.tell(s.entry(i, "deleted"));
                      s.workers.get(i).die();
                    }
                  }));
    }
  }

  private static void restart(Scene s, int worker) {
    s.workers
        .get(worker)
        .die()
        .compose(v -> s.workers.get(worker).start(true))
        .onSuccess(p -> s.roster.tell(s.entry(worker, "running")));
  }

  private static void during(
      DayFile.Trouble t, String what, Script script, Script.Happening begin, Script.Happening end) {
    script.at(t.at(), what, begin);
    script.at(t.at() + t.seconds(), "end of " + t.kind(), end);
  }

  private static void faults(Scene s, List<Integer> on, Consumer<FakeBackend.Faults> how) {
    on.forEach(i -> s.workers.get(i).change(how));
  }

  /** So large a part of the workers; those that no trouble has had yet come first. */
  private List<Integer> workers(double part) {
    int count = part <= 0 ? 0 : (int) Math.min(WORKERS, Math.max(1, Math.round(part * WORKERS)));
    List<Integer> picked = new ArrayList<>();
    while (picked.size() < count && !untouched.isEmpty()) {
      picked.add(untouched.pollFirst());
    }
    for (int i = 0; picked.size() < count; i++) {
      if (!picked.contains(i)) {
        picked.add(i);
      }
    }
    return picked;
  }
}
