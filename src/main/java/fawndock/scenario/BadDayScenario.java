package fawndock.scenario;

import fawndock.conformance.ConformanceLimits;
import fawndock.conformance.ConformanceResult;
import fawndock.conformance.InvariantChecker;
import fawndock.conformance.TraceEvent;
import fawndock.fake.FakeBackend;
import fawndock.fake.RawHttpClient;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.settings.GatewaySettings;
import fawndock.settings.GatewaySettingsFile;
import java.io.IOException;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The scripted bad day: three gateways, eight backends and a counter through overlapping faults.
 */
public final class BadDayScenario {
  static final int GATEWAYS = 3;
  static final int BACKENDS = 8;
  private static final double DURATION_SECONDS = 27;
  private static final long TOLERANCE_MICROS = 250_000;
  static final FakeBackend.BackendConfig BACKEND_CONFIG =
      new FakeBackend.BackendConfig(4, 20_000, 200, 0.2, 4_000_000, 2, 1_000_000);
  static final String COMMON_SETTINGS =
      """
            class lookup aim 500ms deadline 2s worth 1 repeat idempotent
            class update aim 500ms deadline 2s worth 3 repeat deduplicated group all window 1500ms
            class charge aim 800ms deadline 3s worth 5 repeat at-most-once
            route GET /lookup lookup
            route PUT /update update
            route POST /charge charge
            plan basic rate 20 store 60 pays 0.5
            plan gold rate 90 store 200 pays 2
            plan capped rate 30 store 60 pays 1 ceiling-rate 60 ceiling-burst 120 ceiling-slack 20
            plan plain rate 0 pays 1
            key key-a customer agency-a plan basic
            key key-b customer agency-b plan gold
            key key-c customer agency-c plan capped
            key key-d customer agency-d plan gold
            key key-e customer agency-e plan plain
            limits attempts 3 open 2000 duplicates no
            rules answer-grace 10ms drain-grace 1s cold-share 0.2 cold-time 4s fall-multiple 2 fall-time 1s
            pool connections 4 streams 500 connect 500ms
            log text level info
            """;
  private final long seed;
  private final PrintStream out;

  public BadDayScenario(long seed, PrintStream out) {
    this.seed = seed;
    this.out = out;
  }

  /** Plays it, prints each fault and the verdict; returns whether every rule was kept. */
  public boolean run() throws Exception {
    long began = System.nanoTime();
    try (FleetFixture scene = new FleetFixture(BACKENDS, BACKEND_CONFIG, seed)) {
      scene.addGateways(GATEWAYS, COMMON_SETTINGS);
      scene.gateways.startAll();
      TrafficGenerator traffic =
          new TrafficGenerator(
              scene.vertx,
              new RawHttpClient(scene.vertx, scene.recorder),
              requestKinds(),
              customers(),
              GATEWAYS,
              scene.gateways::port,
              seed);
      traffic.setRateFactor(0.1);
      traffic.start();
      schedule(scene, traffic).runUntil(DURATION_SECONDS, out);
      traffic.stop();
      awaitCompletion(traffic);
      List<TraceEvent> trace = scene.recorder.events();
      ConformanceResult verdict = InvariantChecker.check(trace, conformanceLimits(scene));
      printSummary(traffic, trace);
      out.printf("%.1f s in all%n", (System.nanoTime() - began) / 1e9);
      return scene.conclude(verdict, out);
    }
  }

  static List<TrafficGenerator.RequestKind> requestKinds() {
    return List.of(
        new TrafficGenerator.RequestKind(
            "lookup", "GET", "/lookup/tours", Idempotency.IDEMPOTENT, 1_600_000, 0.6),
        new TrafficGenerator.RequestKind(
            "update", "PUT", "/update/guest", Idempotency.DEDUPLICATED, 1_600_000, 0.25),
        new TrafficGenerator.RequestKind(
            "charge", "POST", "/charge", Idempotency.AT_MOST_ONCE, 2_400_000, 0.15));
  }

  static List<TrafficGenerator.Customer> customers() {
    return List.of(
        new TrafficGenerator.Customer("agency-a", "key-a", 45),
        new TrafficGenerator.Customer("agency-b", "key-b", 60),
        new TrafficGenerator.Customer("agency-c", "key-c", 70),
        new TrafficGenerator.Customer("agency-d", "key-d", 50),
        new TrafficGenerator.Customer("agency-e", "key-e", 75));
  }

  private FaultSchedule schedule(FleetFixture s, TrafficGenerator traffic) {
    Function<Integer, FakeBackend> w = s.backends::get;
    return new FaultSchedule()
        // Stand-ins and records start cold as well, and it is not their start that is judged.
        .at(1.5, "traffic is at its full height", () -> traffic.setRateFactor(1))
        .at(
            2,
            "worker-1 is 8 times slower",
            () -> w.apply(1).injectFaults(f -> f.workTimeFactor = 8))
        .at(4, "the counter falls silent", () -> s.counter.setUnresponsive(true))
        .at(5, "gatekeeper 1 is killed", () -> s.gateways.kill(1))
        .at(6, "worker-2 goes silent", () -> w.apply(2).injectFaults(f -> f.isUnresponsive = true))
        .at(6.5, "gatekeeper 1 starts again", () -> s.gateways.restart(1))
        .at(8, "the counter answers again", () -> s.counter.setUnresponsive(false))
        .at(
            9,
            "worker-3 drains",
            () -> {
              s.discovery.publish(s.endpointEntry(3, "stopping"));
              w.apply(3).drain();
            })
        .at(
            10,
            "all ask twice as much; worker-1 is well",
            () -> {
              traffic.setRateFactor(2);
              w.apply(1).injectFaults(f -> f.workTimeFactor = 1);
            })
        .at(11, "worker-3 dies", () -> w.apply(3).kill())
        .at(12, "the counter is killed", s.counter::kill)
        .at(
            12.2,
            "worker-2 answers again",
            () -> w.apply(2).injectFaults(f -> f.isUnresponsive = false))
        .at(
            13,
            "worker-3 comes back cold",
            () ->
                w.apply(3)
                    .start(true)
                    .onSuccess(p -> s.discovery.publish(s.endpointEntry(3, "running"))))
        .at(
            14,
            "the counter starts again; worker-4 loses 30% of its answers",
            () -> {
              s.counter.start();
              w.apply(4).injectFaults(f -> f.lostResponseRatio = 0.3);
            })
        .at(14.5, "all ask as before", () -> traffic.setRateFactor(1))
        .at(
            15,
            "worker-5 resets 30%, worker-6 refuses half",
            () -> {
              w.apply(5).injectFaults(f -> f.resetRatio = 0.3);
              w.apply(6).injectFaults(f -> f.rejectRatio = 0.5);
            })
        .at(16, "the roster is 1.5 s late", () -> s.discovery.setDelayMillis(1_500))
        .at(
            16.5,
            "the counter is killed, and starts again at once",
            () -> {
              s.counter.kill();
              s.counter.start();
            })
        .at(17, "the roster is cut off", () -> s.discovery.setDisconnected(true))
        .at(
            18,
            "worker-7 dies; workers 5 and 6 are well",
            () -> {
              w.apply(5).injectFaults(f -> f.resetRatio = 0);
              w.apply(6).injectFaults(f -> f.rejectRatio = 0);
              w.apply(7).kill();
            })
        .at(
            19,
            "a fifth of the clients leave early and try again at once",
            () -> traffic.setEarlyDisconnectRatio(0.2))
        .at(
            20,
            "the roster is back; worker-7 comes back cold",
            () -> {
              s.discovery.setDisconnected(false);
              s.discovery.setDelayMillis(0);
              w.apply(7)
                  .start(true)
                  .onSuccess(p -> s.discovery.publish(s.endpointEntry(7, "running")));
            })
        .at(
            21,
            "gatekeeper 2 is killed; the counter takes 40 ms",
            () -> {
              s.gateways.kill(2);
              s.counter.setDelayMillis(40);
            })
        .at(
            22,
            "gatekeeper 2 starts again; the counter loses half of its counts",
            () -> {
              s.counter.dropShare(0.5);
              s.gateways.restart(2);
            })
        .at(
            23,
            "clients stay; worker-4 is well; worker-0 fails a third",
            () -> {
              traffic.setEarlyDisconnectRatio(0);
              w.apply(4).injectFaults(f -> f.lostResponseRatio = 0);
              w.apply(0).injectFaults(f -> f.errorRatio = 0.33);
            })
        .at(24, "the counter is quick again", () -> s.counter.setDelayMillis(0))
        .at(25, "worker-0 is well", () -> w.apply(0).injectFaults(f -> f.errorRatio = 0));
  }

  /** Waits until all requests have ended, or long enough. */
  public static void awaitCompletion(TrafficGenerator traffic) throws InterruptedException {
    long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(8);
    do {
      Thread.sleep(20); // What was begun as it stopped is open by then.
    } while (traffic.inFlightCount() > 0 && System.nanoTime() < limit);
  }

  /** The figures that the conformance check uses are those that the gateways were given. */
  static ConformanceLimits conformanceLimits(FleetFixture scene) throws Exception {
    GatewaySettings s = GatewaySettingsFile.read(scene.directory().resolve("gatekeeper-0.conf"));
    Map<String, Plan> plans = s.plans().stream().collect(Collectors.toMap(Plan::name, p -> p));
    Map<String, Plan> byCustomer = new HashMap<>();
    s.apiKeys().values().forEach(k -> byCustomer.put(k.customer(), plans.get(k.plan())));
    return new ConformanceLimits(
        s.classes().stream().collect(Collectors.toMap(c -> c.name(), c -> c)),
        s.rules(),
        byCustomer,
        TOLERANCE_MICROS);
  }

  private void printSummary(TrafficGenerator traffic, List<TraceEvent> trace) throws IOException {
    long attempts = trace.stream().filter(e -> e instanceof TraceEvent.AttemptArrived).count();
    out.printf(
        "served %d, refused %d, failed %d, left or cut off %d; %d attempts reached workers%n",
        traffic.completedCount(200),
        traffic.completedCount(429),
        traffic.completedCount(502) + traffic.completedCount(504),
        traffic.completedCount(0),
        attempts);
  }
}
