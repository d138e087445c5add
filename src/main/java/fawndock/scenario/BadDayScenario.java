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
 * Scenario {@code bad-day}: three gateways, eight backends and a counter under a fixed schedule of
 * overlapping faults.
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

  /** Runs the scenario, prints each fault and the result; returns whether every rule was kept. */
  public boolean run() throws Exception {
    long startNanos = System.nanoTime();
    try (FleetFixture fixture = new FleetFixture(BACKENDS, BACKEND_CONFIG, seed)) {
      fixture.addGateways(GATEWAYS, COMMON_SETTINGS);
      fixture.gateways.startAll();
      TrafficGenerator traffic =
          new TrafficGenerator(
              fixture.vertx,
              new RawHttpClient(fixture.vertx, fixture.recorder),
              requestKinds(),
              customers(),
              GATEWAYS,
              fixture.gateways::port,
              seed);
      traffic.setRateFactor(0.1);
      traffic.start();
      schedule(fixture, traffic).runUntil(DURATION_SECONDS, out);
      traffic.stop();
      awaitCompletion(traffic);
      List<TraceEvent> trace = fixture.recorder.events();
      ConformanceResult result = InvariantChecker.check(trace, conformanceLimits(fixture));
      printSummary(traffic, trace);
      out.printf("%.1f s in all%n", (System.nanoTime() - startNanos) / 1e9);
      return fixture.conclude(result, out);
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

  private FaultSchedule schedule(FleetFixture fixture, TrafficGenerator traffic) {
    Function<Integer, FakeBackend> backend = fixture.backends::get;
    return new FaultSchedule()
        // The fakes and the trace recorder also need to warm up; their start is not under test.
        .at(1.5, "traffic is at its full rate", () -> traffic.setRateFactor(1))
        .at(
            2,
            "worker-1 is 8 times slower",
            () -> backend.apply(1).injectFaults(f -> f.workTimeFactor = 8))
        .at(4, "the counter falls silent", () -> fixture.counter.setUnresponsive(true))
        .at(5, "gatekeeper 1 is killed", () -> fixture.gateways.kill(1))
        .at(
            6,
            "worker-2 goes silent",
            () -> backend.apply(2).injectFaults(f -> f.isUnresponsive = true))
        .at(6.5, "gatekeeper 1 starts again", () -> fixture.gateways.restart(1))
        .at(8, "the counter answers again", () -> fixture.counter.setUnresponsive(false))
        .at(
            9,
            "worker-3 drains",
            () -> {
              fixture.discovery.publish(fixture.endpointEntry(3, "stopping"));
              backend.apply(3).drain();
            })
        .at(
            10,
            "all customers double their rate; worker-1 recovers",
            () -> {
              traffic.setRateFactor(2);
              backend.apply(1).injectFaults(f -> f.workTimeFactor = 1);
            })
        .at(11, "worker-3 dies", () -> backend.apply(3).kill())
        .at(12, "the counter is killed", fixture.counter::kill)
        .at(
            12.2,
            "worker-2 answers again",
            () -> backend.apply(2).injectFaults(f -> f.isUnresponsive = false))
        .at(
            13,
            "worker-3 comes back cold",
            () ->
                backend
                    .apply(3)
                    .start(true)
                    .onSuccess(p -> fixture.discovery.publish(fixture.endpointEntry(3, "running"))))
        .at(
            14,
            "the counter starts again; worker-4 loses 30% of its answers",
            () -> {
              fixture.counter.start();
              backend.apply(4).injectFaults(f -> f.lostResponseRatio = 0.3);
            })
        .at(14.5, "all customers send at their usual rate", () -> traffic.setRateFactor(1))
        .at(
            15,
            "worker-5 resets 30% of requests, worker-6 refuses half",
            () -> {
              backend.apply(5).injectFaults(f -> f.resetRatio = 0.3);
              backend.apply(6).injectFaults(f -> f.rejectRatio = 0.5);
            })
        .at(16, "the roster is 1.5 s late", () -> fixture.discovery.setDelayMillis(1_500))
        .at(
            16.5,
            "the counter is killed, and starts again at once",
            () -> {
              fixture.counter.kill();
              fixture.counter.start();
            })
        .at(17, "the roster is cut off", () -> fixture.discovery.setDisconnected(true))
        .at(
            18,
            "worker-7 dies; workers 5 and 6 recover",
            () -> {
              backend.apply(5).injectFaults(f -> f.resetRatio = 0);
              backend.apply(6).injectFaults(f -> f.rejectRatio = 0);
              backend.apply(7).kill();
            })
        .at(
            19,
            "a fifth of the clients leave early and try again at once",
            () -> traffic.setEarlyDisconnectRatio(0.2))
        .at(
            20,
            "the roster is back; worker-7 comes back cold",
            () -> {
              fixture.discovery.setDisconnected(false);
              fixture.discovery.setDelayMillis(0);
              backend
                  .apply(7)
                  .start(true)
                  .onSuccess(p -> fixture.discovery.publish(fixture.endpointEntry(7, "running")));
            })
        .at(
            21,
            "gatekeeper 2 is killed; the counter answers after 40 ms",
            () -> {
              fixture.gateways.kill(2);
              fixture.counter.setDelayMillis(40);
            })
        .at(
            22,
            "gatekeeper 2 starts again; the counter loses half of its counts",
            () -> {
              fixture.counter.dropShare(0.5);
              fixture.gateways.restart(2);
            })
        .at(
            23,
            "clients no longer leave early; worker-4 recovers; worker-0 fails a third",
            () -> {
              traffic.setEarlyDisconnectRatio(0);
              backend.apply(4).injectFaults(f -> f.lostResponseRatio = 0);
              backend.apply(0).injectFaults(f -> f.errorRatio = 0.33);
            })
        .at(24, "the counter answers without delay again", () -> fixture.counter.setDelayMillis(0))
        .at(25, "worker-0 recovers", () -> backend.apply(0).injectFaults(f -> f.errorRatio = 0));
  }

  /** Waits until all requests have completed, for at most 8 s. */
  public static void awaitCompletion(TrafficGenerator traffic) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(8);
    do {
      Thread.sleep(20); // A request that was being sent at the stop is in flight by then.
    } while (traffic.inFlightCount() > 0 && System.nanoTime() < deadlineNanos);
  }

  /** Returns the limits of the conformance check, read from the settings of the first gateway. */
  static ConformanceLimits conformanceLimits(FleetFixture fixture) throws Exception {
    GatewaySettings settings =
        GatewaySettingsFile.read(fixture.directory().resolve("gatekeeper-0.conf"));
    Map<String, Plan> plans =
        settings.plans().stream().collect(Collectors.toMap(Plan::name, plan -> plan));
    Map<String, Plan> byCustomer = new HashMap<>();
    settings
        .apiKeys()
        .values()
        .forEach(apiKey -> byCustomer.put(apiKey.customer(), plans.get(apiKey.plan())));
    return new ConformanceLimits(
        settings.classes().stream()
            .collect(
                Collectors.toMap(
                    requestClass -> requestClass.name(), requestClass -> requestClass)),
        settings.rules(),
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
