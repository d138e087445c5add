package fawndock.scenario;

import fawndock.conformance.InvariantChecker;
import fawndock.fake.RawHttpClient;
import fawndock.policy.config.Idempotency;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The demo: one gateway, a counter, endpoint discovery and eight backends, with customers below,
 * near and above the quotas of their plans.
 */
public final class DemoScenario {
  private static final String COMMON_SETTINGS =
      """
            class lookup aim 500ms deadline 2s repeat idempotent
            route GET /tours lookup
            plan basic rate 20 store 40 pays 0.5
            plan gold rate 100 store 200 pays 2
            key demo-small customer small-agency plan basic
            key demo-greedy customer greedy-agency plan basic
            key demo-hotel customer hotel plan gold
            log text level info
            """;
  private static final Map<String, Integer> PLAN_RATES =
      new TreeMap<>(Map.of("small-agency", 20, "greedy-agency", 20, "hotel", 100));

  private final PrintStream out;

  public DemoScenario(PrintStream out) {
    this.out = out;
  }

  /** Runs the demo; returns whether any request was served and every rule was kept. */
  public boolean run(int seconds) throws Exception {
    try (FleetFixture fixture =
        new FleetFixture(BadDayScenario.BACKENDS, BadDayScenario.BACKEND_CONFIG, 1)) {
      fixture.addGateways(1, COMMON_SETTINGS);
      fixture.gateways.startAll();
      List<TrafficGenerator.Customer> customers =
          List.of(
              new TrafficGenerator.Customer("small-agency", "demo-small", 10),
              new TrafficGenerator.Customer("greedy-agency", "demo-greedy", 80),
              new TrafficGenerator.Customer("hotel", "demo-hotel", 70));
      TrafficGenerator traffic =
          new TrafficGenerator(
              fixture.vertx,
              new RawHttpClient(fixture.vertx, fixture.recorder),
              List.of(
                  new TrafficGenerator.RequestKind(
                      "lookup", "GET", "/tours/today", Idempotency.IDEMPOTENT, 1_500_000, 1)),
              customers,
              1,
              fixture.gateways::port,
              1);
      out.println(
          "gatekeeper on 127.0.0.1:"
              + fixture.gateways.port(0)
              + ", 8 workers, a counter, a roster; try:");
      out.println(
          "  curl -i -H 'x-api-key: demo-small' http://127.0.0.1:"
              + fixture.gateways.port(0)
              + "/tours/x");
      out.println(
          "each second: served / refused for each customer (how many a second it may send on its plan in the long run)");
      traffic.start();
      Map<String, long[]> previousCounts = new TreeMap<>();
      for (int second = 1; second <= seconds; second++) {
        Thread.sleep(1_000);
        StringBuilder line = new StringBuilder(String.format("%4d s", second));
        PLAN_RATES.forEach(
            (customer, unitsPerSecond) -> {
              long[] counts = {
                traffic.completedCount(customer, 200), traffic.completedCount(customer, 429)
              };
              long[] previous = previousCounts.getOrDefault(customer, new long[2]);
              line.append(
                  String.format(
                      "   %s (%d/s) %3d / %3d",
                      customer, unitsPerSecond, counts[0] - previous[0], counts[1] - previous[1]));
              previousCounts.put(customer, counts);
            });
        out.println(line);
        if (second == Math.max(2, seconds / 2)) {
          out.println("       (worker-0 dies, worker-1 is 10 times slower)");
          fixture.backends.get(0).kill();
          fixture.backends.get(1).injectFaults(f -> f.workTimeFactor = 10);
        }
      }
      traffic.stop();
      BadDayScenario.awaitCompletion(traffic);
      return fixture.conclude(
              InvariantChecker.check(
                  fixture.recorder.events(), BadDayScenario.conformanceLimits(fixture)),
              out)
          && traffic.completedCount(200) > 0;
    }
  }
}
