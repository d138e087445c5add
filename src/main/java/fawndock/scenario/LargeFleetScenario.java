package fawndock.scenario;

import fawndock.conformance.ConformanceLimits;
import fawndock.conformance.ConformanceResult;
import fawndock.conformance.InvariantChecker;
import fawndock.conformance.QuotaUsage;
import fawndock.conformance.TraceEvent;
import fawndock.fake.RawHttpClient;
import fawndock.fake.TraceRecorder;
import fawndock.measurement.TraceMetrics;
import fawndock.policy.config.Idempotency;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Scenario {@code large-fleet}: sixty gateways with about one request a second each, and three
 * counter nodes. Each customer sends through all gateways, so a gateway gets a request of a given
 * customer at most once in many windows; the quotas must be kept nevertheless.
 */
public final class LargeFleetScenario {
  private static final int PROCESSES = 6;
  private static final int INSTANCES_PER_PROCESS = 10;
  private static final int CUSTOMERS = 8;
  private static final double PLAN_UNITS_PER_SECOND = 5;
  private static final double DEMAND_RATIO = 1.5;

  /**
   * Highest permitted use of a plan, as a ratio, in any whole minute after the first ten seconds.
   */
  private static final double MAX_PLAN_RATIO = 1.05;

  private static final String COUNTER_COMMAND = "FD.SUM";
  private final int seconds;
  private final long seed;
  private final PrintStream out;

  public LargeFleetScenario(int seconds, long seed, PrintStream out) {
    this.seconds = seconds;
    this.seed = seed;
    this.out = out;
  }

  /** Runs the scenario and prints the use; returns whether plans and rules were kept. */
  public boolean run() throws Exception {
    StringBuilder commonSettings =
        new StringBuilder(
                """
                class lookup aim 500ms deadline 2s repeat idempotent
                route GET /tours lookup
                log text level info
                """)
            .append(
                String.format(
                    Locale.ROOT,
                    "plan seat rate %.0f store %.0f%n",
                    PLAN_UNITS_PER_SECOND,
                    2 * PLAN_UNITS_PER_SECOND));
    List<TrafficGenerator.Customer> customers = new ArrayList<>();
    for (int i = 0; i < CUSTOMERS; i++) {
      commonSettings
          .append("key c")
          .append(i)
          .append(" customer c")
          .append(i)
          .append(" plan seat\n");
      customers.add(
          new TrafficGenerator.Customer("c" + i, "c" + i, DEMAND_RATIO * PLAN_UNITS_PER_SECOND));
    }
    try (FleetFixture fixture =
            new FleetFixture(BadDayScenario.BACKENDS, BadDayScenario.BACKEND_CONFIG, seed, false);
        CounterFleetFixture counterFleet =
            new CounterFleetFixture(fixture.vertx, fixture.directory(), 3, PROCESSES)) {
      fixture.addMultiInstanceGateways(
          PROCESSES, INSTANCES_PER_PROCESS, i -> counterFleet.gatewaySettings(i) + commonSettings);
      fixture.gateways.startAll();
      TrafficGenerator traffic =
          new TrafficGenerator(
                  fixture.vertx,
                  new RawHttpClient(fixture.vertx, fixture.recorder),
                  List.of(
                      new TrafficGenerator.RequestKind(
                          "lookup", "GET", "/tours/today", Idempotency.IDEMPOTENT, 1_500_000, 1)),
                  customers,
                  PROCESSES,
                  fixture.gateways::port,
                  seed)
              .withMaxAttempts(1);
      counterFleet.countCommands(COUNTER_COMMAND);
      long startMicros = TraceRecorder.nowMicros();
      traffic.start();
      new FaultSchedule()
          .at(
              QuotaUsage.SETTLING_SECONDS,
              "use is checked against the plans from here on",
              () -> {})
          .runUntil(seconds, out);
      traffic.stop();
      BadDayScenario.awaitCompletion(traffic);
      List<TraceEvent> trace = fixture.recorder.events();
      ConformanceLimits limits = BadDayScenario.conformanceLimits(fixture);
      ConformanceResult result = InvariantChecker.check(trace, limits);
      Map<String, Double> metrics =
          TraceMetrics.of(
                  trace,
                  limits.requestClasses(),
                  limits.customerPlans(),
                  List.of(),
                  startMicros,
                  seconds)
              .figures();
      out.printf(
          "kept %.3f of what was asked and allowed; together %.3f of the plans%n",
          metrics.get("kept"), metrics.get("use"));
      result.violations().forEach(violation -> out.println("  " + violation));
      out.println(result.summaryLine());
      counterFleet.close();
      double worstPlanRatio = metrics.get("use-worst-customer");
      boolean passed = result.isConformant() && worstPlanRatio <= MAX_PLAN_RATIO;
      fixture.closeAndCleanUp(passed, out);
      out.println(
          resultLine(
              worstPlanRatio,
              PROCESSES * INSTANCES_PER_PROCESS,
              counterFleet.commandCount() / (double) Math.max(1, result.requestCount())));
      return passed;
    }
  }

  static String resultLine(double worstPlanRatio, int gatewayCount, double callsPerAttempt) {
    return String.format(
        Locale.ROOT,
        "used %.1f%% of plan at most, %d gatekeepers, %.2f calls a try",
        100 * worstPlanRatio,
        gatewayCount,
        callsPerAttempt);
  }
}
