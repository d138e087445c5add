package fawndock.scenario;

import fawndock.conformance.ConformanceLimits;
import fawndock.conformance.ConformanceResult;
import fawndock.conformance.InvariantChecker;
import fawndock.conformance.TraceEvent;
import fawndock.conformance.WeightedGoodput;
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
 * Scenario {@code day}: runs the faults of a generated day file on loopback in real time. Four
 * gateways and twelve backends represent the fleet of the day; the affected shares of the fleet,
 * fault sizes, times, plans and load are those of the day.
 */
public final class DayScenario {
  private static final int GATEWAYS = 4;
  private static final int BACKENDS = 12;
  private static final int GATEWAYS_PER_CUSTOMER = 3;
  private static final double MAX_SECONDS = 120;
  private final DayFile day;
  private final PrintStream out;
  private final SplittableRandom random;
  private final TreeSet<Integer> unaffectedBackends = new TreeSet<>();
  private final List<String> unknownKinds = new ArrayList<>();

  public DayScenario(DayFile day, long seed, PrintStream out) {
    this.day = day;
    this.out = out;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < BACKENDS; i++) {
      unaffectedBackends.add(i);
    }
  }

  /**
   * Runs the day and prints its faults, the outcomes and the result; returns whether every rule was
   * kept.
   */
  public boolean run() throws Exception {
    double meanWorkMicros =
        day.requestClasses().stream()
                .mapToDouble(requestClass -> requestClass.share() * requestClass.workMicros())
                .sum()
            / day.requestClasses().stream().mapToDouble(DayFile.DayRequestClass::share).sum();
    FakeBackend.BackendConfig backendConfig =
        new FakeBackend.BackendConfig(
            day.backend().cores(),
            (long) meanWorkMicros,
            day.backend().queueCapacity(),
            day.backend().slowStartShare(),
            (long) day.backend().slowStartMicros(),
            day.collapseMultiple(),
            (long) day.collapseWindowMicros());
    try (FleetFixture fixture = new FleetFixture(BACKENDS, backendConfig, 1)) {
      List<TrafficGenerator.Customer> customers = new ArrayList<>();
      String settings =
          generateSettings(customers, BACKENDS * day.backend().cores() * 1e6 / meanWorkMicros);
      fixture.addGateways(GATEWAYS, settings);
      fixture.gateways.startAll();
      TrafficGenerator traffic =
          new TrafficGenerator(
                  fixture.vertx,
                  new RawHttpClient(fixture.vertx, fixture.recorder),
                  day.requestClasses().stream()
                      .map(
                          requestClass ->
                              new TrafficGenerator.RequestKind(
                                  requestClass.name(),
                                  "GET",
                                  "/" + requestClass.name(),
                                  requestClass.idempotency(),
                                  requestClass.deadlineMicros(),
                                  requestClass.share()))
                      .toList(),
                  customers,
                  GATEWAYS,
                  fixture.gateways::port,
                  1)
              .withMaxAttempts(1 + Math.min(3, day.retries()))
              .withGatewaysPerCustomer(GATEWAYS_PER_CUSTOMER);
      out.printf(
          "%s: %d gatekeepers and %d servers stand for %d and %d; %d customers%n",
          day.name(), GATEWAYS, BACKENDS, day.gatewayCount(), day.backendCount(), customers.size());
      traffic.start();
      schedule(fixture, traffic).runUntil(Math.min(MAX_SECONDS, day.seconds()), out);
      traffic.stop();
      BadDayScenario.awaitCompletion(traffic);
      List<TraceEvent> trace = fixture.recorder.events();
      ConformanceLimits limits = BadDayScenario.conformanceLimits(fixture);
      ConformanceResult result = InvariantChecker.check(trace, limits);
      out.printf(
          "served %d, refused %d, failed %d, no answer %d%n",
          traffic.completedCount(200),
          traffic.completedCount(429),
          traffic.completedCount(502) + traffic.completedCount(504),
          traffic.completedCount(0));
      out.printf(
          "worth served within its aim, of what was asked inside quotas: %.2f%n",
          WeightedGoodput.shareOfOffered(trace, limits));
      unknownKinds.forEach(kind -> out.println("not injected, no such kind here: " + kind));
      return fixture.conclude(result, out);
    }
  }

  /**
   * Returns settings with the classes and plans of the day, and adds customers whose use of their
   * quotas follows the shares of the day.
   */
  private String generateSettings(List<TrafficGenerator.Customer> customers, double capacity) {
    StringBuilder text = new StringBuilder();
    for (DayFile.DayRequestClass requestClass : day.requestClasses()) {
      text.append(
          String.format(
              Locale.ROOT,
              "class %s aim %dus deadline %dus repeat %s%s%nroute GET /%s %s%n",
              requestClass.name(),
              requestClass.latencyObjectiveMicros(),
              requestClass.deadlineMicros(),
              requestClass.idempotency().name().toLowerCase(Locale.ROOT).replace('_', '-'),
              requestClass.idempotency() == Idempotency.DEDUPLICATED
                  ? " group all window " + requestClass.deduplicationWindowMicros() + "us"
                  : "",
              requestClass.name(),
              requestClass.name()));
    }
    for (DayFile.DayPlan plan : day.plans()) {
      if (plan.unitsPerSecond() > 0) {
        text.append(
            String.format(
                Locale.ROOT,
                "plan %s rate %.3f store %.3f pays %.2f%n",
                plan.name(),
                plan.unitsPerSecond(),
                Math.max(1, plan.burstUnits()),
                plan.priorityWeight()));
      } else {
        text.append(
            String.format(
                Locale.ROOT, "plan %s rate 0 pays %.2f%n", plan.name(), plan.priorityWeight()));
      }
      double remainingDemand = plan.share() * day.load() * capacity;
      for (int i = 0; remainingDemand > 0 && i < 500; i++) {
        double draw = random.nextDouble();
        double unitsPerSecond = plan.unitsPerSecond() > 0 ? plan.unitsPerSecond() : 5;
        double demandRatio =
            draw < day.overQuotaShare()
                ? 2 + 2 * random.nextDouble()
                : draw < day.overQuotaShare() + day.atQuotaShare()
                    ? 0.95
                    : day.belowQuotaDemand() * (0.5 + random.nextDouble());
        String name = plan.name() + "-" + i;
        text.append(
            String.format(
                Locale.ROOT,
                "key key-%s customer %s plan %s first %d spread %d%n",
                name,
                name,
                plan.name(),
                Math.floorMod(name.hashCode(), GATEWAYS),
                GATEWAYS_PER_CUSTOMER));
        customers.add(
            new TrafficGenerator.Customer(name, "key-" + name, demandRatio * unitsPerSecond));
        remainingDemand -= Math.min(1, demandRatio) * unitsPerSecond;
      }
    }
    return text.append(
            String.format(
                Locale.ROOT,
                "limits attempts 4 open 5000%nrules answer-grace 10ms drain-grace "
                    + "%.0fus cold-share %.3f cold-time %.0fus fall-multiple %.2f fall-time %.0fus%n",
                day.drainGraceMicros(),
                day.backend().slowStartShare(),
                day.backend().slowStartMicros(),
                day.collapseMultiple(),
                day.collapseWindowMicros()))
        .append("log text level info\n")
        .toString();
  }

  private FaultSchedule schedule(FleetFixture fixture, TrafficGenerator traffic) {
    FaultSchedule schedule = new FaultSchedule();
    for (DayFile.DayFault fault : day.faults()) {
      scheduleFault(fault, schedule, fixture, traffic);
    }
    return schedule;
  }

  private void scheduleFault(
      DayFile.DayFault fault,
      FaultSchedule schedule,
      FleetFixture fixture,
      TrafficGenerator traffic) {
    List<Integer> targets = pickBackends(fault.backendShare());
    String description =
        String.format(
            Locale.ROOT, "%s, size %.2f, %d workers", fault.kind(), fault.size(), targets.size());
    switch (fault.kind()) {
      case "slow", "ageing" ->
          scheduleInterval(
              fault,
              description,
              schedule,
              () ->
                  injectFaults(fixture, targets, f -> f.workTimeFactor = Math.max(1, fault.size())),
              () -> injectFaults(fixture, targets, f -> f.workTimeFactor = 1));
      case "shared_slow" ->
          scheduleInterval(
              fault,
              description,
              schedule,
              () -> injectFaults(fixture, pickBackends(1), f -> f.workTimeFactor = fault.size()),
              () -> injectFaults(fixture, pickBackends(1), f -> f.workTimeFactor = 1));
      case "answer_lost" ->
          scheduleInterval(
              fault,
              description,
              schedule,
              () -> injectFaults(fixture, targets, f -> f.lostResponseRatio = fault.size()),
              () -> injectFaults(fixture, targets, f -> f.lostResponseRatio = 0));
      case "vanish" ->
          scheduleInterval(
              fault,
              description,
              schedule,
              () -> injectFaults(fixture, targets, f -> f.isUnresponsive = true),
              () -> {
                injectFaults(fixture, targets, f -> f.isUnresponsive = false);
                targets.forEach(i -> restartWarmingUp(fixture, i));
              });
      case "burst" ->
          scheduleInterval(
              fault,
              description,
              schedule,
              () -> traffic.setRateFactor(Math.max(1, fault.size())),
              () -> traffic.setRateFactor(1));
      case "tenant_burst" -> {
        String planPrefix =
            day.plans().get(Math.floorMod(fault.planIndex(), day.plans().size())).name() + "-";
        scheduleInterval(
            fault,
            description + " of " + planPrefix,
            schedule,
            () -> traffic.setRateFactorOf(planPrefix, fault.size()),
            () -> traffic.setRateFactorOf(planPrefix, 1));
      }
      case "hot_caller" ->
          scheduleInterval(
              fault,
              description,
              schedule,
              () -> traffic.setHotGatewayRatio(fault.size()),
              () -> traffic.setHotGatewayRatio(0));
      case "reconnect" -> schedule.at(fault.atSecond(), description, traffic::shiftHotGateways);
      case "retry_abuse" ->
          scheduleInterval(
              fault,
              description,
              schedule,
              () -> traffic.setRetryAbuse(true),
              () -> traffic.setRetryAbuse(false));
      case "give_up" ->
          scheduleInterval(
              fault,
              description,
              schedule,
              () -> traffic.setEarlyDisconnectRatio(Math.min(0.5, fault.size())),
              () -> traffic.setEarlyDisconnectRatio(0));
      case "origin_slow" ->
          scheduleInterval(
              fault,
              description,
              schedule,
              () -> fixture.counter.setDelayMillis(Math.round(1.5 * fault.size())),
              () -> fixture.counter.setDelayMillis(0));
      case "flush" ->
          schedule.at(
              fault.atSecond(),
              description,
              () -> fixture.counter.dropShare(Math.min(1, fault.size())));
      case "counter_down" -> scheduleCounterOutage(fault, description, schedule, fixture);
      case "shrink", "deploy" ->
          scheduleFleetChange(fault, description, schedule, fixture, traffic);
      default -> unknownKinds.add(fault.kind());
    }
  }

  private void scheduleCounterOutage(
      DayFile.DayFault fault, String description, FaultSchedule schedule, FleetFixture fixture) {
    boolean refusesConnections =
        fault.mode().contains("refus") || (fault.mode().isEmpty() && fault.size() > 0.5);
    scheduleInterval(
        fault,
        description + (refusesConnections ? ", refusing" : ", silent"),
        schedule,
        () -> {
          if (refusesConnections) {
            fixture.counter.kill();
          } else {
            fixture.counter.setUnresponsive(true);
          }
        },
        () -> {
          boolean losesState = fault.extra() > 0.5 || fault.mode().contains("empty");
          if (refusesConnections && losesState) {
            fixture.counter.deleteState();
          } else if (losesState) {
            fixture.counter.dropShare(1);
          }
          if (refusesConnections) {
            fixture.counter.start();
          }
          fixture.counter.setUnresponsive(false);
        });
  }

  /**
   * Schedules the steps in which backends drain and stop. In a deployment, each stopped backend
   * starts again and warms up.
   */
  private void scheduleFleetChange(
      DayFile.DayFault fault,
      String description,
      FaultSchedule schedule,
      FleetFixture fixture,
      TrafficGenerator traffic) {
    boolean deploy = fault.kind().equals("deploy");
    double drainSeconds = Math.max(2, day.drainGraceMicros() / 1e6);
    double pendingStops = 0;
    if (!deploy) {
      schedule.at(
          fault.atSecond(),
          "traffic falls to " + Math.round(100 / Math.max(1, fault.size())) + "%",
          () -> traffic.setRateFactor(1 / Math.max(1, fault.size())));
      schedule.at(
          fault.atSecond() + fault.seconds(), "traffic is back", () -> traffic.setRateFactor(1));
    }
    for (DayFile.FleetStep step : fault.steps()) {
      pendingStops += step.stoppedShare() * BACKENDS;
      List<Integer> stopping = pickBackends(Math.floor(pendingStops) / BACKENDS);
      pendingStops -= stopping.size();
      if (stopping.isEmpty()) {
        continue;
      }
      schedule.at(
          step.atSecond(),
          description + ": workers " + stopping + " drain",
          () ->
              stopping.forEach(
                  i -> {
                    fixture.discovery.publish(fixture.endpointEntry(i, "stopping"));
                    fixture.backends.get(i).drain();
                  }));
      schedule.at(
          step.atSecond() + drainSeconds + 1,
          "workers " + stopping + (deploy ? " start again, cold" : " are gone"),
          () ->
              stopping.forEach(
                  i -> {
                    if (deploy) {
                      restartWarmingUp(fixture, i);
                    } else {
                      fixture.discovery.publish(fixture.endpointEntry(i, "deleted"));
                      fixture.backends.get(i).kill();
                    }
                  }));
    }
  }

  private static void restartWarmingUp(FleetFixture fixture, int backend) {
    fixture
        .backends
        .get(backend)
        .kill()
        .compose(v -> fixture.backends.get(backend).start(true))
        .onSuccess(p -> fixture.discovery.publish(fixture.endpointEntry(backend, "running")));
  }

  private static void scheduleInterval(
      DayFile.DayFault fault,
      String description,
      FaultSchedule schedule,
      FaultSchedule.ScheduledAction inject,
      FaultSchedule.ScheduledAction recover) {
    schedule.at(fault.atSecond(), description, inject);
    schedule.at(fault.atSecond() + fault.seconds(), "end of " + fault.kind(), recover);
  }

  private static void injectFaults(
      FleetFixture fixture, List<Integer> targets, Consumer<FakeBackend.Faults> change) {
    targets.forEach(i -> fixture.backends.get(i).injectFaults(change));
  }

  /** Picks a share of the backends, starting with those that no fault has affected yet. */
  private List<Integer> pickBackends(double share) {
    int count =
        share <= 0 ? 0 : (int) Math.min(BACKENDS, Math.max(1, Math.round(share * BACKENDS)));
    List<Integer> picked = new ArrayList<>();
    while (picked.size() < count && !unaffectedBackends.isEmpty()) {
      picked.add(unaffectedBackends.pollFirst());
    }
    for (int i = 0; picked.size() < count; i++) {
      if (!picked.contains(i)) {
        picked.add(i);
      }
    }
    return picked;
  }
}
