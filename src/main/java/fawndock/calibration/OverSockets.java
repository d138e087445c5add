package fawndock.calibration;

import fawndock.conformance.ConformanceLimits;
import fawndock.conformance.ConformanceResult;
import fawndock.conformance.InvariantChecker;
import fawndock.conformance.PriorityWeights;
import fawndock.conformance.TraceEvent;
import fawndock.fake.FakeBackend;
import fawndock.fake.RawHttpClient;
import fawndock.fake.TraceRecorder;
import fawndock.measurement.Measures;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.scenario.BadDay;
import fawndock.scenario.Scene;
import fawndock.scenario.Script;
import fawndock.scenario.Traffic;
import fawndock.simulation.Deployment;
import fawndock.simulation.Deployment.Demand;
import fawndock.simulation.DeploymentFile.Mark;
import fawndock.simulation.DeploymentFile.Read;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Plays a small deployment over loopback: gatekeepers and counter in processes of their own,
 * workers and clients as stand-ins.
 */
public final class OverSockets {
  private static final int MOST_GATEKEEPERS = 8;
  private static final int MOST_WORKERS = 24;
  private static final double MOST_RATE = 500;
  private static final double LONGEST = 120;
  private static final long SLACK = 250_000;

  /**
   * Seconds of light traffic before it is measured: processes start cold, and it is not their start
   * that is emulated.
   */
  private static final double WARM = 3;

  /** What came of it. */
  public record Played(Measures.Told told, ConformanceResult verdict) {}

  private final Read read;
  private final Deployment d;
  private final PrintStream out;

  public OverSockets(Read read, PrintStream out) {
    this.read = read;
    this.d = read.deployment();
    this.out = out;
  }

  /** What of the deployment cannot be played so; empty when all can. */
  public List<String> beyond() {
    List<String> all = new ArrayList<>();
    if (d.gatekeepers() > MOST_GATEKEEPERS
        || d.workers() > MOST_WORKERS
        || d.seconds() > LONGEST
        || d.demands().stream().mapToDouble(Demand::rate).sum() > MOST_RATE) {
      all.add(
          "at most "
              + MOST_GATEKEEPERS
              + " gatekeepers, "
              + MOST_WORKERS
              + " workers, "
              + (int) MOST_RATE
              + " requests a second and "
              + (int) LONGEST
              + " s are played over sockets");
    }
    if (d.demands().stream().anyMatch(x -> x.spread() < d.gatekeepers())) {
      all.add("over sockets each customer comes through all gatekeepers");
    }
    for (Mark mark : read.marks()) {
      if (!mark.kind()
          .matches("counter-silent|worker-slow|worker-silent|worker-loses-answers|worker-dies")) {
        all.add("trouble " + mark.kind() + " is not played over sockets");
      }
    }
    return all;
  }

  /** Plays it, in real time. */
  public Played play() throws Exception {
    try (Scene scene = new Scene(d.workers(), d.build(), d.seed())) {
      scene.gatekeepers(d.gatekeepers(), settings());
      scene.gatekeepers.startAll();
      List<Traffic> traffics = new ArrayList<>();
      RawHttpClient client = new RawHttpClient(scene.vertx, scene.recorder);
      for (Demand demand : d.demands()) {
        RequestClass type =
            d.classes().stream()
                .filter(c -> c.name().equals(demand.requestClass()))
                .findFirst()
                .orElseThrow();
        List<Traffic.Customer> customers =
            IntStream.range(0, demand.customers())
                .mapToObj(
                    i ->
                        new Traffic.Customer(
                            demand.name() + "-" + i,
                            "key-" + demand.name() + "-" + i,
                            demand.rate() / demand.customers()))
                .toList();
        traffics.add(
            new Traffic(
                    scene.vertx,
                    client,
                    List.of(
                        new Traffic.Kind(
                            type.name(),
                            "GET",
                            "/" + type.name(),
                            type.idempotency(),
                            demand.remainingMicros(),
                            1)),
                    customers,
                    d.gatekeepers(),
                    scene.gatekeepers::port,
                    d.seed() + traffics.size())
                .named(demand.name())
                .tries(1));
      }
      traffics.forEach(t -> t.factor(0.2));
      traffics.forEach(Traffic::start);
      long[] begin = {0};
      Script script =
          new Script()
              .at(
                  WARM,
                  "measured from here",
                  () -> {
                    begin[0] = TraceRecorder.now();
                    traffics.forEach(t -> t.factor(1));
                  });
      read.marks().forEach(mark -> trouble(mark, script, scene));
      script.play(WARM + d.seconds(), out);
      traffics.forEach(Traffic::stop);
      for (Traffic each : traffics) {
        BadDay.awaitEnds(each);
      }
      return played(scene.recorder.all(), begin[0]);
    }
  }

  private Played played(List<TraceEvent> trace, long begin) {
    Map<String, Plan> plans = d.plansOfCustomers();
    Map<String, RequestClass> classes =
        d.classes().stream().collect(Collectors.toMap(RequestClass::name, c -> c));
    ConformanceResult verdict =
        InvariantChecker.judge(trace, new ConformanceLimits(classes, d.rules(), plans, SLACK));
    List<TraceEvent> measured = trace.stream().filter(s -> s.at() >= begin).toList();
    Measures.Told told =
        Measures.of(
            measured,
            classes,
            plans,
            d.demands().stream().map(Demand::name).toList(),
            begin,
            d.seconds());
    told.figures()
        .put(
            "worth",
            PriorityWeights.judge(
                measured, new ConformanceLimits(classes, d.rules(), plans, SLACK)));
    return new Played(told, verdict);
  }

  /** The deployment's lines that a gatekeeper knows too, and a key for each customer. */
  private String settings() {
    StringBuilder text = new StringBuilder();
    read.settings()
        .lines()
        .filter(line -> line.matches("(class|plan|limits|rules) .*"))
        .forEach(line -> text.append(line).append('\n'));
    d.classes()
        .forEach(
            c ->
                text.append("route GET /")
                    .append(c.name())
                    .append(' ')
                    .append(c.name())
                    .append('\n'));
    for (Demand demand : d.demands()) {
      for (int i = 0; i < demand.customers(); i++) {
        String name = demand.name() + "-" + i;
        text.append("key key-")
            .append(name)
            .append(" customer ")
            .append(name)
            .append(" plan ")
            .append(demand.plan())
            .append('\n');
      }
    }
    return text.append("log text level info\n").toString();
  }

  private static void trouble(Mark mark, Script script, Scene scene) {
    List<Integer> on =
        IntStream.range(mark.worker(), mark.worker() + mark.count()).boxed().toList();
    double from = WARM + mark.from();
    double until = WARM + mark.until();
    switch (mark.kind()) {
      case "counter-silent" ->
          script
              .at(from, mark.kind(), () -> scene.counter.silent(true))
              .at(until, "its end", () -> scene.counter.silent(false));
      case "worker-slow" ->
          faults(script, scene, on, mark, f -> f.slow = mark.times(), f -> f.slow = 1);
      case "worker-silent" ->
          faults(script, scene, on, mark, f -> f.silent = true, f -> f.silent = false);
      case "worker-loses-answers" ->
          faults(
              script, scene, on, mark, f -> f.loseAnswers = mark.share(), f -> f.loseAnswers = 0);
      default ->
          script
              .at(
                  from,
                  mark.kind(),
                  () ->
                      on.forEach(
                          i -> {
                            scene.workers.get(i).die();
                            scene.roster.tell(scene.entry(i, "deleted"));
                          }))
              .at(
                  until,
                  "they come back cold",
                  () ->
                      on.forEach(
                          i ->
                              scene
                                  .workers
                                  .get(i)
                                  .start(true)
                                  .onSuccess(p -> scene.roster.tell(scene.entry(i, "running")))));
    }
  }

  private static void faults(
      Script script,
      Scene scene,
      List<Integer> on,
      Mark mark,
      java.util.function.Consumer<FakeBackend.Faults> begin,
      java.util.function.Consumer<FakeBackend.Faults> end) {
    script
        .at(
            WARM + mark.from(),
            mark.kind(),
            () -> on.forEach(i -> scene.workers.get(i).change(begin)))
        .at(
            WARM + mark.until(),
            "its end",
            () -> on.forEach(i -> scene.workers.get(i).change(end)));
  }
}
