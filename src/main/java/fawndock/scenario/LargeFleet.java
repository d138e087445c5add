package fawndock.scenario;

import fawndock.conformance.ConformanceLimits;
import fawndock.conformance.ConformanceResult;
import fawndock.conformance.InvariantChecker;
import fawndock.conformance.QuotaUsage;
import fawndock.conformance.TraceEvent;
import fawndock.fake.RawHttpClient;
import fawndock.fake.TraceRecorder;
import fawndock.measurement.Measures;
import fawndock.policy.config.Idempotency;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Sixty gatekeepers with a request a second each, through all of which each customer comes, and
 * three counter nodes: quotas hold though none of the gatekeepers meets a customer more than once
 * in many windows.
 */
public final class LargeFleet {
  private static final int PROCESSES = 6;
  private static final int INSTANCES = 10;
  private static final int CUSTOMERS = 8;
  private static final double RATE = 5;
  private static final double ASKED = 1.5;

  /** Of the plan, in the worst whole minute after the first ten seconds. */
  private static final double MOST = 1.05;

  private static final String CALL = "FD.SUM";
  private final int seconds;
  private final long seed;
  private final PrintStream out;

  public LargeFleet(int seconds, long seed, PrintStream out) {
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
            .append(String.format(Locale.ROOT, "plan seat rate %.0f store %.0f%n", RATE, 2 * RATE));
    List<Traffic.Customer> customers = new ArrayList<>();
    for (int i = 0; i < CUSTOMERS; i++) {
      common.append("key c").append(i).append(" customer c").append(i).append(" plan seat\n");
      customers.add(new Traffic.Customer("c" + i, "c" + i, ASKED * RATE));
    }
    try (Scene scene = new Scene(BadDay.WORKERS, BadDay.BUILD, seed, false);
        CounterFleet nodes = new CounterFleet(scene.vertx, scene.folder(), 3, PROCESSES)) {
      scene.processes(PROCESSES, INSTANCES, i -> nodes.lines(i) + common);
      scene.gatekeepers.startAll();
      Traffic traffic =
          new Traffic(
                  scene.vertx,
                  new RawHttpClient(scene.vertx, scene.recorder),
                  List.of(
                      new Traffic.Kind(
                          "lookup", "GET", "/tours/today", Idempotency.IDEMPOTENT, 1_500_000, 1)),
                  customers,
                  PROCESSES,
                  scene.gatekeepers::port,
                  seed)
              .tries(1);
      nodes.count(CALL);
      long begin = TraceRecorder.now();
      traffic.start();
      new Script()
          .at(QuotaUsage.SETTLED, "held against the plans from here", () -> {})
          .play(seconds, out);
      traffic.stop();
      BadDay.awaitEnds(traffic);
      List<TraceEvent> trace = scene.recorder.all();
      ConformanceLimits figures = BadDay.figures(scene);
      ConformanceResult verdict = InvariantChecker.judge(trace, figures);
      Map<String, Double> told =
          Measures.of(trace, figures.classes(), figures.plans(), List.of(), begin, seconds)
              .figures();
      out.printf(
          "kept %.3f of what was asked and allowed; together %.3f of the plans%n",
          told.get("kept"), told.get("use"));
      verdict.breaches().forEach(b -> out.println("  " + b));
      out.println(verdict.line());
      nodes.close();
      double worst = told.get("use-worst-customer");
      boolean well = verdict.kept() && worst <= MOST;
      scene.end(well, out);
      out.println(
          line(
              worst,
              PROCESSES * INSTANCES,
              nodes.counted() / (double) Math.max(1, verdict.requests())));
      return well;
    }
  }

  static String line(double worst, int gatekeepers, double calls) {
    return String.format(
        Locale.ROOT,
        "used %.1f%% of plan at most, %d gatekeepers, %.2f calls a try",
        100 * worst,
        gatekeepers,
        calls);
  }
}
