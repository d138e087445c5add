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
 * Plays the kinds of fault of a bench day on loopback, at the day's own speed: four gateways and
 * twelve backends stand for all of them; parts of the fleet, sizes, times, plans and load are the
 * day's.
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

  /** Plays the day; prints its faults, how it was served and the verdict. */
  public boolean run() throws Exception {
    double work =
        day.requestClasses().stream().mapToDouble(k -> k.share() * k.workMicros()).sum()
            / day.requestClasses().stream().mapToDouble(DayFile.DayRequestClass::share).sum();
    FakeBackend.BackendConfig build =
        new FakeBackend.BackendConfig(
            day.backend().cores(),
            (long) work,
            day.backend().queueCapacity(),
            day.backend().slowStartShare(),
            (long) day.backend().slowStartMicros(),
            day.collapseMultiple(),
            (long) day.collapseWindowMicros());
    try (FleetFixture scene = new FleetFixture(BACKENDS, build, 1)) {
      List<TrafficGenerator.Customer> customers = new ArrayList<>();
      String settings = settings(customers, BACKENDS * day.backend().cores() * 1e6 / work);
      scene.addGateways(GATEWAYS, settings);
      scene.gateways.startAll();
      TrafficGenerator traffic =
          new TrafficGenerator(
                  scene.vertx,
                  new RawHttpClient(scene.vertx, scene.recorder),
                  day.requestClasses().stream()
                      .map(
                          k ->
                              new TrafficGenerator.RequestKind(
                                  k.name(),
                                  "GET",
                                  "/" + k.name(),
                                  k.idempotency(),
                                  k.deadlineMicros(),
                                  k.share()))
                      .toList(),
                  customers,
                  GATEWAYS,
                  scene.gateways::port,
                  1)
              .withMaxAttempts(1 + Math.min(3, day.retries()))
              .withGatewaysPerCustomer(GATEWAYS_PER_CUSTOMER);
      out.printf(
          "%s: %d gatekeepers and %d servers stand for %d and %d; %d customers%n",
          day.name(), GATEWAYS, BACKENDS, day.gatewayCount(), day.backendCount(), customers.size());
      traffic.start();
      schedule(scene, traffic).runUntil(Math.min(MAX_SECONDS, day.seconds()), out);
      traffic.stop();
      BadDayScenario.awaitCompletion(traffic);
      List<TraceEvent> trace = scene.recorder.events();
      ConformanceLimits figures = BadDayScenario.conformanceLimits(scene);
      ConformanceResult verdict = InvariantChecker.check(trace, figures);
      out.printf(
          "served %d, refused %d, failed %d, no answer %d%n",
          traffic.completedCount(200),
          traffic.completedCount(429),
          traffic.completedCount(502) + traffic.completedCount(504),
          traffic.completedCount(0));
      out.printf(
          "worth served within its aim, of what was asked inside quotas: %.2f%n",
          WeightedGoodput.shareOfOffered(trace, figures));
      unknownKinds.forEach(k -> out.println("not played, no such kind here: " + k));
      return scene.conclude(verdict, out);
    }
  }

  /**
   * Settings with the day's classes and plans, and customers that use their quotas as the day says.
   */
  private String settings(List<TrafficGenerator.Customer> customers, double capacity) {
    StringBuilder text = new StringBuilder();
    for (DayFile.DayRequestClass k : day.requestClasses()) {
      text.append(
          String.format(
              Locale.ROOT,
              "class %s aim %dus deadline %dus repeat %s%s%nroute GET /%s %s%n",
              k.name(),
              k.latencyObjectiveMicros(),
              k.deadlineMicros(),
              k.idempotency().name().toLowerCase(Locale.ROOT).replace('_', '-'),
              k.idempotency() == Idempotency.DEDUPLICATED
                  ? " group all window " + k.deduplicationWindowMicros() + "us"
                  : "",
              k.name(),
              k.name()));
    }
    for (DayFile.DayPlan p : day.plans()) {
      if (p.unitsPerSecond() > 0) {
        text.append(
            String.format(
                Locale.ROOT,
                "plan %s rate %.3f store %.3f pays %.2f%n",
                p.name(),
                p.unitsPerSecond(),
                Math.max(1, p.burstUnits()),
                p.priorityWeight()));
      } else {
        text.append(
            String.format(Locale.ROOT, "plan %s rate 0 pays %.2f%n", p.name(), p.priorityWeight()));
      }
      double inside = p.share() * day.load() * capacity;
      for (int i = 0; inside > 0 && i < 500; i++) {
        double dice = random.nextDouble();
        double rate = p.unitsPerSecond() > 0 ? p.unitsPerSecond() : 5;
        double asks =
            dice < day.overQuotaShare()
                ? 2 + 2 * random.nextDouble()
                : dice < day.overQuotaShare() + day.atQuotaShare()
                    ? 0.95
                    : day.belowQuotaDemand() * (0.5 + random.nextDouble());
        String name = p.name() + "-" + i;
        text.append(
            String.format(
                Locale.ROOT,
                "key key-%s customer %s plan %s first %d spread %d%n",
                name,
                name,
                p.name(),
                Math.floorMod(name.hashCode(), GATEWAYS),
                GATEWAYS_PER_CUSTOMER));
        customers.add(new TrafficGenerator.Customer(name, "key-" + name, asks * rate));
        inside -= Math.min(1, asks) * rate;
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

  private FaultSchedule schedule(FleetFixture s, TrafficGenerator traffic) {
    FaultSchedule script = new FaultSchedule();
    for (DayFile.DayFault t : day.faults()) {
      scheduleFault(t, script, s, traffic);
    }
    return script;
  }

  private void scheduleFault(
      DayFile.DayFault t, FaultSchedule script, FleetFixture s, TrafficGenerator traffic) {
    List<Integer> on = pickBackends(t.backendShare());
    String what =
        String.format(Locale.ROOT, "%s, size %.2f, %d workers", t.kind(), t.size(), on.size());
    switch (t.kind()) {
      case "slow", "ageing" ->
          scheduleFor(
              t,
              what,
              script,
              () -> injectFaults(s, on, f -> f.workTimeFactor = Math.max(1, t.size())),
              () -> injectFaults(s, on, f -> f.workTimeFactor = 1));
      case "shared_slow" ->
          scheduleFor(
              t,
              what,
              script,
              () -> injectFaults(s, pickBackends(1), f -> f.workTimeFactor = t.size()),
              () -> injectFaults(s, pickBackends(1), f -> f.workTimeFactor = 1));
      case "answer_lost" ->
          scheduleFor(
              t,
              what,
              script,
              () -> injectFaults(s, on, f -> f.lostResponseRatio = t.size()),
              () -> injectFaults(s, on, f -> f.lostResponseRatio = 0));
      case "vanish" ->
          scheduleFor(
              t,
              what,
              script,
              () -> injectFaults(s, on, f -> f.isUnresponsive = true),
              () -> {
                injectFaults(s, on, f -> f.isUnresponsive = false);
                on.forEach(i -> restartWarmingUp(s, i));
              });
      case "burst" ->
          scheduleFor(
              t,
              what,
              script,
              () -> traffic.setRateFactor(Math.max(1, t.size())),
              () -> traffic.setRateFactor(1));
      case "tenant_burst" -> {
        String plan =
            day.plans().get(Math.floorMod(t.planIndex(), day.plans().size())).name() + "-";
        scheduleFor(
            t,
            what + " of " + plan,
            script,
            () -> traffic.setRateFactorOf(plan, t.size()),
            () -> traffic.setRateFactorOf(plan, 1));
      }
      case "hot_caller" ->
          scheduleFor(
              t,
              what,
              script,
              () -> traffic.setHotGatewayRatio(t.size()),
              () -> traffic.setHotGatewayRatio(0));
      case "reconnect" -> script.at(t.atSecond(), what, traffic::shiftHotGateways);
      case "retry_abuse" ->
          scheduleFor(
              t,
              what,
              script,
              () -> traffic.setRetryAbuse(true),
              () -> traffic.setRetryAbuse(false));
      case "give_up" ->
          scheduleFor(
              t,
              what,
              script,
              () -> traffic.setEarlyDisconnectRatio(Math.min(0.5, t.size())),
              () -> traffic.setEarlyDisconnectRatio(0));
      case "origin_slow" ->
          scheduleFor(
              t,
              what,
              script,
              () -> s.counter.setDelayMillis(Math.round(1.5 * t.size())),
              () -> s.counter.setDelayMillis(0));
      case "flush" ->
          script.at(t.atSecond(), what, () -> s.counter.dropShare(Math.min(1, t.size())));
      case "counter_down" -> scheduleCounterOutage(t, what, script, s);
      case "shrink", "deploy" -> scheduleFleetChange(t, what, script, s, traffic);
      default -> unknownKinds.add(t.kind());
    }
  }

  private void scheduleCounterOutage(
      DayFile.DayFault t, String what, FaultSchedule script, FleetFixture s) {
    boolean refuses = t.mode().contains("refus") || (t.mode().isEmpty() && t.size() > 0.5);
    scheduleFor(
        t,
        what + (refuses ? ", refusing" : ", silent"),
        script,
        () -> {
          if (refuses) {
            s.counter.kill();
          } else {
            s.counter.setUnresponsive(true);
          }
        },
        () -> {
          boolean empty = t.extra() > 0.5 || t.mode().contains("empty");
          if (refuses && empty) {
            s.counter.deleteState();
          } else if (empty) {
            s.counter.dropShare(1);
          }
          if (refuses) {
            s.counter.start();
          }
          s.counter.setUnresponsive(false);
        });
  }

  /** Backends drain and end, in the day's steps; in a deploy a cold one takes each one's place. */
  private void scheduleFleetChange(
      DayFile.DayFault t,
      String what,
      FaultSchedule script,
      FleetFixture s,
      TrafficGenerator traffic) {
    boolean deploy = t.kind().equals("deploy");
    double grace = Math.max(2, day.drainGraceMicros() / 1e6);
    double owed = 0;
    if (!deploy) {
      script.at(
          t.atSecond(),
          "traffic falls to " + Math.round(100 / Math.max(1, t.size())) + "%",
          () -> traffic.setRateFactor(1 / Math.max(1, t.size())));
      script.at(t.atSecond() + t.seconds(), "traffic is back", () -> traffic.setRateFactor(1));
    }
    for (DayFile.FleetStep step : t.steps()) {
      owed += step.stoppedShare() * BACKENDS;
      List<Integer> going = pickBackends(Math.floor(owed) / BACKENDS);
      owed -= going.size();
      if (going.isEmpty()) {
        continue;
      }
      script.at(
          step.atSecond(),
          what + ": workers " + going + " drain",
          () ->
              going.forEach(
                  i -> {
                    s.discovery.publish(s.endpointEntry(i, "stopping"));
                    s.backends.get(i).drain();
                  }));
      script.at(
          step.atSecond() + grace + 1,
          "workers " + going + (deploy ? " start again, cold" : " are gone"),
          () ->
              going.forEach(
                  i -> {
                    if (deploy) {
                      restartWarmingUp(s, i);
                    } else {
                      s.discovery.publish(s.endpointEntry(i, "deleted"));
                      s.backends.get(i).kill();
                    }
                  }));
    }
  }

  private static void restartWarmingUp(FleetFixture s, int worker) {
    s.backends
        .get(worker)
        .kill()
        .compose(v -> s.backends.get(worker).start(true))
        .onSuccess(p -> s.discovery.publish(s.endpointEntry(worker, "running")));
  }

  private static void scheduleFor(
      DayFile.DayFault t,
      String what,
      FaultSchedule script,
      FaultSchedule.ScheduledAction begin,
      FaultSchedule.ScheduledAction end) {
    script.at(t.atSecond(), what, begin);
    script.at(t.atSecond() + t.seconds(), "end of " + t.kind(), end);
  }

  private static void injectFaults(
      FleetFixture s, List<Integer> on, Consumer<FakeBackend.Faults> how) {
    on.forEach(i -> s.backends.get(i).injectFaults(how));
  }

  /** So large a part of the backends; those that no fault has had yet come first. */
  private List<Integer> pickBackends(double part) {
    int count = part <= 0 ? 0 : (int) Math.min(BACKENDS, Math.max(1, Math.round(part * BACKENDS)));
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
