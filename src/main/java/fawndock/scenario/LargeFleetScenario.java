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
 * Sixty gateways with a request a second each, through all of which each customer comes, and three
 * counter nodes: quotas hold though none of the gateways meets a customer more than once in many
 * windows.
 */
public final class LargeFleetScenario {
  private static final int PROCESSES = 6;
  private static final int INSTANCES_PER_PROCESS = 10;
  private static final int CUSTOMERS = 8;
  private static final double PLAN_UNITS_PER_SECOND = 5;
  private static final double DEMAND_RATIO = 1.5;

  /** Of the plan, in the worst whole minute after the first ten seconds. */
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

  /** Plays it, and prints what was used; returns whether plans and rules were kept. */
  public boolean run() throws Exception {
    StringBuilder common =
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
      common.append("key c").append(i).append(" customer c").append(i).append(" plan seat\n");
      customers.add(
          new TrafficGenerator.Customer("c" + i, "c" + i, DEMAND_RATIO * PLAN_UNITS_PER_SECOND));
    }
    try (FleetFixture scene =
            new FleetFixture(BadDayScenario.BACKENDS, BadDayScenario.BACKEND_CONFIG, seed, false);
        CounterFleetFixture nodes =
            new CounterFleetFixture(scene.vertx, scene.directory(), 3, PROCESSES)) {
      scene.addMultiInstanceGateways(
          PROCESSES, INSTANCES_PER_PROCESS, i -> nodes.gatewaySettings(i) + common);
      scene.gateways.startAll();
      TrafficGenerator traffic =
          new TrafficGenerator(
                  scene.vertx,
                  new RawHttpClient(scene.vertx, scene.recorder),
                  List.of(
                      new TrafficGenerator.RequestKind(
                          "lookup", "GET", "/tours/today", Idempotency.IDEMPOTENT, 1_500_000, 1)),
                  customers,
                  PROCESSES,
                  scene.gateways::port,
                  seed)
              .withMaxAttempts(1);
      nodes.countCommands(COUNTER_COMMAND);
      long begin = TraceRecorder.nowMicros();
      traffic.start();
      new FaultSchedule()
          .at(QuotaUsage.SETTLING_SECONDS, "held against the plans from here", () -> {})
          .runUntil(seconds, out);
      traffic.stop();
      BadDayScenario.awaitCompletion(traffic);
      List<TraceEvent> trace = scene.recorder.events();
      ConformanceLimits figures = BadDayScenario.conformanceLimits(scene);
      ConformanceResult verdict = InvariantChecker.check(trace, figures);
      Map<String, Double> told =
          TraceMetrics.of(
                  trace,
                  figures.requestClasses(),
                  figures.customerPlans(),
                  List.of(),
                  begin,
                  seconds)
              .figures();
      out.printf(
          "kept %.3f of what was asked and allowed; together %.3f of the plans%n",
          told.get("kept"), told.get("use"));
      verdict.violations().forEach(b -> out.println("  " + b));
      out.println(verdict.summaryLine());
      nodes.close();
      double worst = told.get("use-worst-customer");
      boolean well = verdict.isConformant() && worst <= MAX_PLAN_RATIO;
      scene.closeAndCleanUp(well, out);
      out.println(
          resultLine(
              worst,
              PROCESSES * INSTANCES_PER_PROCESS,
              nodes.commandCount() / (double) Math.max(1, verdict.requestCount())));
      return well;
    }
  }

  static String resultLine(double worst, int gateways, double calls) {
    return String.format(
        Locale.ROOT,
        "used %.1f%% of plan at most, %d gatekeepers, %.2f calls a try",
        100 * worst,
        gateways,
        calls);
  }
}
