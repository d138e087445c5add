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
 * Runs a small deployment over loopback sockets, in real time: gateways and the counter in
 * processes of their own, backends and clients as fakes in this process.
 */
public final class SocketRun {
  private static final int MAX_GATEWAYS = 8;
  private static final int MAX_BACKENDS = 24;
  private static final double MAX_REQUESTS_PER_SECOND = 500;
  private static final double MAX_DURATION_SECONDS = 120;
  private static final long TOLERANCE_MICROS = 250_000;

  /**
   * Seconds of light traffic before the measurement starts. Processes start cold, and the
   * simulation does not model their start.
   */
  private static final double WARM_UP_SECONDS = 3;

  /** The measured figures and the conformance of one run. */
  public record SocketRunResult(TraceMetrics.Metrics metrics, ConformanceResult conformance) {}

  private final ParsedDeployment parsedDeployment;
  private final Deployment deployment;
  private final PrintStream out;

  public SocketRun(ParsedDeployment parsedDeployment, PrintStream out) {
    this.parsedDeployment = parsedDeployment;
    this.deployment = parsedDeployment.deployment();
    this.out = out;
  }

  /** Returns an error message for each feature of the deployment that a run over sockets lacks. */
  public List<String> unsupportedFeatures() {
    List<String> unsupported = new ArrayList<>();
    if (deployment.gatewayCount() > MAX_GATEWAYS
        || deployment.backendCount() > MAX_BACKENDS
        || deployment.durationSeconds() > MAX_DURATION_SECONDS
        || deployment.demands().stream().mapToDouble(Demand::requestsPerSecond).sum()
            > MAX_REQUESTS_PER_SECOND) {
      unsupported.add(
          "at most "
              + MAX_GATEWAYS
              + " gatekeepers, "
              + MAX_BACKENDS
              + " workers, "
              + (int) MAX_REQUESTS_PER_SECOND
              + " requests a second and "
              + (int) MAX_DURATION_SECONDS
              + " s are supported over sockets");
    }
    if (deployment.demands().stream()
        .anyMatch(demand -> demand.gatewaysPerCustomer() < deployment.gatewayCount())) {
      unsupported.add("over sockets each customer comes through all gatekeepers");
    }
    for (FaultWindow faultWindow : parsedDeployment.faultWindows()) {
      if (!faultWindow
          .kind()
          .matches("counter-silent|worker-slow|worker-silent|worker-loses-answers|worker-dies")) {
        unsupported.add("trouble " + faultWindow.kind() + " is not supported over sockets");
      }
    }
    return unsupported;
  }

  /** Runs the deployment in real time, after the warm-up, and measures it. */
  public SocketRunResult run() throws Exception {
    try (FleetFixture fleet =
        new FleetFixture(deployment.backendCount(), deployment.backend(), deployment.seed())) {
      fleet.addGateways(deployment.gatewayCount(), gatewaySettings());
      fleet.gateways.startAll();
      List<TrafficGenerator> trafficGenerators = new ArrayList<>();
      RawHttpClient client = new RawHttpClient(fleet.vertx, fleet.recorder);
      for (Demand demand : deployment.demands()) {
        RequestClass requestClass =
            deployment.requestClasses().stream()
                .filter(candidate -> candidate.name().equals(demand.requestClass()))
                .findFirst()
                .orElseThrow();
        List<TrafficGenerator.Customer> customers =
            IntStream.range(0, demand.customerCount())
                .mapToObj(
                    index ->
                        new TrafficGenerator.Customer(
                            demand.name() + "-" + index,
                            "key-" + demand.name() + "-" + index,
                            demand.requestsPerSecond() / demand.customerCount()))
                .toList();
        trafficGenerators.add(
            new TrafficGenerator(
                    fleet.vertx,
                    client,
                    List.of(
                        new TrafficGenerator.RequestKind(
                            requestClass.name(),
                            "GET",
                            "/" + requestClass.name(),
                            requestClass.idempotency(),
                            demand.timeoutMicros(),
                            1)),
                    customers,
                    deployment.gatewayCount(),
                    fleet.gateways::port,
                    deployment.seed() + trafficGenerators.size())
                .withOperationPrefix(demand.name())
                .withMaxAttempts(1));
      }
      trafficGenerators.forEach(generator -> generator.setRateFactor(0.2));
      trafficGenerators.forEach(TrafficGenerator::start);
      long[] startMicros = {0};
      FaultSchedule schedule =
          new FaultSchedule()
              .at(
                  WARM_UP_SECONDS,
                  "measured from here",
                  () -> {
                    startMicros[0] = TraceRecorder.nowMicros();
                    trafficGenerators.forEach(generator -> generator.setRateFactor(1));
                  });
      parsedDeployment
          .faultWindows()
          .forEach(faultWindow -> scheduleFault(faultWindow, schedule, fleet));
      schedule.runUntil(WARM_UP_SECONDS + deployment.durationSeconds(), out);
      trafficGenerators.forEach(TrafficGenerator::stop);
      for (TrafficGenerator generator : trafficGenerators) {
        BadDayScenario.awaitCompletion(generator);
      }
      return evaluate(fleet.recorder.events(), startMicros[0]);
    }
  }

  private SocketRunResult evaluate(List<TraceEvent> trace, long startMicros) {
    Map<String, Plan> plans = deployment.customerPlans();
    Map<String, RequestClass> requestClasses =
        deployment.requestClasses().stream()
            .collect(Collectors.toMap(RequestClass::name, requestClass -> requestClass));
    ConformanceResult conformance =
        InvariantChecker.check(
            trace,
            new ConformanceLimits(requestClasses, deployment.rules(), plans, TOLERANCE_MICROS));
    List<TraceEvent> measured =
        trace.stream().filter(event -> event.atMicros() >= startMicros).toList();
    TraceMetrics.Metrics metrics =
        TraceMetrics.of(
            measured,
            requestClasses,
            plans,
            deployment.demands().stream().map(Demand::name).toList(),
            startMicros,
            deployment.durationSeconds());
    metrics
        .figures()
        .put(
            "worth",
            WeightedGoodput.shareOfOffered(
                measured,
                new ConformanceLimits(
                    requestClasses, deployment.rules(), plans, TOLERANCE_MICROS)));
    return new SocketRunResult(metrics, conformance);
  }

  /**
   * Returns the settings of the gateways: the lines of the deployment file that they share with it,
   * a route for each request class and a key for each customer.
   */
  private String gatewaySettings() {
    StringBuilder settingsText = new StringBuilder();
    parsedDeployment
        .effectiveSettings()
        .lines()
        .filter(line -> line.matches("(class|plan|limits|rules) .*"))
        .forEach(line -> settingsText.append(line).append('\n'));
    deployment
        .requestClasses()
        .forEach(
            requestClass ->
                settingsText
                    .append("route GET /")
                    .append(requestClass.name())
                    .append(' ')
                    .append(requestClass.name())
                    .append('\n'));
    for (Demand demand : deployment.demands()) {
      for (int index = 0; index < demand.customerCount(); index++) {
        String name = demand.name() + "-" + index;
        settingsText
            .append("key key-")
            .append(name)
            .append(" customer ")
            .append(name)
            .append(" plan ")
            .append(demand.plan())
            .append('\n');
      }
    }
    return settingsText.append("log text level info\n").toString();
  }

  private static void scheduleFault(
      FaultWindow faultWindow, FaultSchedule schedule, FleetFixture fleet) {
    List<Integer> backendIndexes =
        IntStream.range(
                faultWindow.firstBackend(), faultWindow.firstBackend() + faultWindow.backendCount())
            .boxed()
            .toList();
    double startSecond = WARM_UP_SECONDS + faultWindow.fromSecond();
    double endSecond = WARM_UP_SECONDS + faultWindow.untilSecond();
    switch (faultWindow.kind()) {
      case "counter-silent" ->
          schedule
              .at(startSecond, faultWindow.kind(), () -> fleet.counter.setUnresponsive(true))
              .at(endSecond, "its end", () -> fleet.counter.setUnresponsive(false));
      case "worker-slow" ->
          scheduleBackendFault(
              schedule,
              fleet,
              backendIndexes,
              faultWindow,
              backendFaults -> backendFaults.workTimeFactor = faultWindow.factor(),
              backendFaults -> backendFaults.workTimeFactor = 1);
      case "worker-silent" ->
          scheduleBackendFault(
              schedule,
              fleet,
              backendIndexes,
              faultWindow,
              backendFaults -> backendFaults.isUnresponsive = true,
              backendFaults -> backendFaults.isUnresponsive = false);
      case "worker-loses-answers" ->
          scheduleBackendFault(
              schedule,
              fleet,
              backendIndexes,
              faultWindow,
              backendFaults -> backendFaults.lostResponseRatio = faultWindow.ratio(),
              backendFaults -> backendFaults.lostResponseRatio = 0);
      default ->
          schedule
              .at(
                  startSecond,
                  faultWindow.kind(),
                  () ->
                      backendIndexes.forEach(
                          index -> {
                            fleet.backends.get(index).kill();
                            fleet.discovery.publish(fleet.endpointEntry(index, "deleted"));
                          }))
              .at(
                  endSecond,
                  "backends restarted cold",
                  () ->
                      backendIndexes.forEach(
                          index ->
                              fleet
                                  .backends
                                  .get(index)
                                  .start(true)
                                  .onSuccess(
                                      port ->
                                          fleet.discovery.publish(
                                              fleet.endpointEntry(index, "running")))));
    }
  }

  private static void scheduleBackendFault(
      FaultSchedule schedule,
      FleetFixture fleet,
      List<Integer> backendIndexes,
      FaultWindow faultWindow,
      java.util.function.Consumer<FakeBackend.Faults> injectFault,
      java.util.function.Consumer<FakeBackend.Faults> clearFault) {
    schedule
        .at(
            WARM_UP_SECONDS + faultWindow.fromSecond(),
            faultWindow.kind(),
            () ->
                backendIndexes.forEach(
                    index -> fleet.backends.get(index).injectFaults(injectFault)))
        .at(
            WARM_UP_SECONDS + faultWindow.untilSecond(),
            "its end",
            () ->
                backendIndexes.forEach(
                    index -> fleet.backends.get(index).injectFaults(clearFault)));
  }
}
