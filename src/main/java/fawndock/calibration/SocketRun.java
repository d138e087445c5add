package fawndock.calibration;

import fawndock.conformance.ConformanceLimits;
import fawndock.conformance.ConformanceResult;
import fawndock.conformance.InvariantChecker;
import fawndock.conformance.TraceEvent;
import fawndock.conformance.WeightedGoodput;
import fawndock.fake.FakeBackend;
import fawndock.fake.RawHttpClient;
import fawndock.fake.TraceRecorder;
import fawndock.measurement.TraceMetrics;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.scenario.BadDayScenario;
import fawndock.scenario.FaultSchedule;
import fawndock.scenario.FleetFixture;
import fawndock.scenario.TrafficGenerator;
import fawndock.simulation.Deployment;
import fawndock.simulation.Deployment.Demand;
import fawndock.simulation.DeploymentFile.FaultWindow;
import fawndock.simulation.DeploymentFile.ParsedDeployment;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Plays a small deployment over loopback: gateways and counter in processes of their own, backends
 * and clients as fakes.
 */
public final class SocketRun {
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
  public record SocketRunResult(TraceMetrics.Metrics metrics, ConformanceResult conformance) {}

  private final ParsedDeployment read;
  private final Deployment d;
  private final PrintStream out;

  public SocketRun(ParsedDeployment read, PrintStream out) {
    this.read = read;
    this.d = read.deployment();
    this.out = out;
  }

  /** What of the deployment cannot be played so; empty when all can. */
  public List<String> unsupportedFeatures() {
    List<String> all = new ArrayList<>();
    if (d.gatewayCount() > MOST_GATEKEEPERS
        || d.backendCount() > MOST_WORKERS
        || d.durationSeconds() > LONGEST
        || d.demands().stream().mapToDouble(Demand::requestsPerSecond).sum() > MOST_RATE) {
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
    if (d.demands().stream().anyMatch(x -> x.gatewaysPerCustomer() < d.gatewayCount())) {
      all.add("over sockets each customer comes through all gatekeepers");
    }
    for (FaultWindow mark : read.faultWindows()) {
      if (!mark.kind()
          .matches("counter-silent|worker-slow|worker-silent|worker-loses-answers|worker-dies")) {
        all.add("trouble " + mark.kind() + " is not played over sockets");
      }
    }
    return all;
  }

  /** Plays it, in real time. */
  public SocketRunResult run() throws Exception {
    try (FleetFixture scene = new FleetFixture(d.backendCount(), d.backend(), d.seed())) {
      scene.addGateways(d.gatewayCount(), settings());
      scene.gateways.startAll();
      List<TrafficGenerator> traffics = new ArrayList<>();
      RawHttpClient client = new RawHttpClient(scene.vertx, scene.recorder);
      for (Demand demand : d.demands()) {
        RequestClass type =
            d.requestClasses().stream()
                .filter(c -> c.name().equals(demand.requestClass()))
                .findFirst()
                .orElseThrow();
        List<TrafficGenerator.Customer> customers =
            IntStream.range(0, demand.customerCount())
                .mapToObj(
                    i ->
                        new TrafficGenerator.Customer(
                            demand.name() + "-" + i,
                            "key-" + demand.name() + "-" + i,
                            demand.requestsPerSecond() / demand.customerCount()))
                .toList();
        traffics.add(
            new TrafficGenerator(
                    scene.vertx,
                    client,
                    List.of(
                        new TrafficGenerator.RequestKind(
                            type.name(),
                            "GET",
                            "/" + type.name(),
                            type.idempotency(),
                            demand.timeoutMicros(),
                            1)),
                    customers,
                    d.gatewayCount(),
                    scene.gateways::port,
                    d.seed() + traffics.size())
                .withOperationPrefix(demand.name())
                .withMaxAttempts(1));
      }
      traffics.forEach(t -> t.setRateFactor(0.2));
      traffics.forEach(TrafficGenerator::start);
      long[] begin = {0};
      FaultSchedule script =
          new FaultSchedule()
              .at(
                  WARM,
                  "measured from here",
                  () -> {
                    begin[0] = TraceRecorder.nowMicros();
                    traffics.forEach(t -> t.setRateFactor(1));
                  });
      read.faultWindows().forEach(mark -> trouble(mark, script, scene));
      script.playUntil(WARM + d.durationSeconds(), out);
      traffics.forEach(TrafficGenerator::stop);
      for (TrafficGenerator each : traffics) {
        BadDayScenario.awaitCompletion(each);
      }
      return played(scene.recorder.events(), begin[0]);
    }
  }

  private SocketRunResult played(List<TraceEvent> trace, long begin) {
    Map<String, Plan> plans = d.customerPlans();
    Map<String, RequestClass> classes =
        d.requestClasses().stream().collect(Collectors.toMap(RequestClass::name, c -> c));
    ConformanceResult verdict =
        InvariantChecker.check(trace, new ConformanceLimits(classes, d.rules(), plans, SLACK));
    List<TraceEvent> measured = trace.stream().filter(s -> s.atMicros() >= begin).toList();
    TraceMetrics.Metrics told =
        TraceMetrics.of(
            measured,
            classes,
            plans,
            d.demands().stream().map(Demand::name).toList(),
            begin,
            d.durationSeconds());
    told.figures()
        .put(
            "worth",
            WeightedGoodput.shareOfOffered(
                measured, new ConformanceLimits(classes, d.rules(), plans, SLACK)));
    return new SocketRunResult(told, verdict);
  }

  /** The deployment's lines that a gateway knows too, and a key for each customer. */
  private String settings() {
    StringBuilder text = new StringBuilder();
    read.effectiveSettings()
        .lines()
        .filter(line -> line.matches("(class|plan|limits|rules) .*"))
        .forEach(line -> text.append(line).append('\n'));
    d.requestClasses()
        .forEach(
            c ->
                text.append("route GET /")
                    .append(c.name())
                    .append(' ')
                    .append(c.name())
                    .append('\n'));
    for (Demand demand : d.demands()) {
      for (int i = 0; i < demand.customerCount(); i++) {
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

  private static void trouble(FaultWindow mark, FaultSchedule script, FleetFixture scene) {
    List<Integer> on =
        IntStream.range(mark.firstBackend(), mark.firstBackend() + mark.backendCount())
            .boxed()
            .toList();
    double from = WARM + mark.fromSecond();
    double until = WARM + mark.untilSecond();
    switch (mark.kind()) {
      case "counter-silent" ->
          script
              .at(from, mark.kind(), () -> scene.counter.setUnresponsive(true))
              .at(until, "its end", () -> scene.counter.setUnresponsive(false));
      case "worker-slow" ->
          faults(
              script,
              scene,
              on,
              mark,
              f -> f.workTimeFactor = mark.factor(),
              f -> f.workTimeFactor = 1);
      case "worker-silent" ->
          faults(
              script, scene, on, mark, f -> f.isUnresponsive = true, f -> f.isUnresponsive = false);
      case "worker-loses-answers" ->
          faults(
              script,
              scene,
              on,
              mark,
              f -> f.lostResponseRatio = mark.ratio(),
              f -> f.lostResponseRatio = 0);
      default ->
          script
              .at(
                  from,
                  mark.kind(),
                  () ->
                      on.forEach(
                          i -> {
                            scene.backends.get(i).kill();
                            scene.discovery.publish(scene.endpointEntry(i, "deleted"));
                          }))
              .at(
                  until,
                  "they come back cold",
                  () ->
                      on.forEach(
                          i ->
                              scene
                                  .backends
                                  .get(i)
                                  .start(true)
                                  .onSuccess(
                                      p ->
                                          scene.discovery.publish(
                                              scene.endpointEntry(i, "running")))));
    }
  }

  private static void faults(
      FaultSchedule script,
      FleetFixture scene,
      List<Integer> on,
      FaultWindow mark,
      java.util.function.Consumer<FakeBackend.Faults> begin,
      java.util.function.Consumer<FakeBackend.Faults> end) {
    script
        .at(
            WARM + mark.fromSecond(),
            mark.kind(),
            () -> on.forEach(i -> scene.backends.get(i).injectFaults(begin)))
        .at(
            WARM + mark.untilSecond(),
            "its end",
            () -> on.forEach(i -> scene.backends.get(i).injectFaults(end)));
  }
}
