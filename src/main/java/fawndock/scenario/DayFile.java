package fawndock.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import fawndock.policy.config.Idempotency;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What a drill needs of a day that the bench drew: its size, classes, plans, load and faults. Sizes
 * stay those of the day; {@link DayScenario} scales them.
 */
public record DayFile(
    String name,
    double seconds,
    int gatewayCount,
    int backendCount,
    double load,
    int retries,
    double drainGraceMicros,
    double collapseMultiple,
    double collapseWindowMicros,
    DayBackend backend,
    List<DayRequestClass> requestClasses,
    List<DayPlan> plans,
    double atQuotaShare,
    double overQuotaShare,
    double belowQuotaDemand,
    List<DayFault> faults,
    DayCounter counter,
    double networkDelayMicros,
    double discoveryDelayMicros) {
  private static final long MAX_BYTES = 64L << 20;

  /** How the servers are built. */
  public record DayBackend(
      int cores, int queueCapacity, double slowStartShare, double slowStartMicros) {}

  /** A request class; times in microseconds. */
  public record DayRequestClass(
      String name,
      double share,
      long workMicros,
      long latencyObjectiveMicros,
      long deadlineMicros,
      Idempotency idempotency,
      long deduplicationWindowMicros) {}

  /**
   * A plan with its share of the use inside quotas, and its customers; each comes through so many
   * gateways.
   */
  public record DayPlan(
      String name,
      double share,
      double unitsPerSecond,
      double burstUnits,
      double priorityWeight,
      double overQuotaCost,
      int customerCount,
      int gatewaysPerCustomer) {}

  /**
   * The counter: parts, calls that each takes a second, microseconds that a gateway waits, and that
   * its line may take.
   */
  public record DayCounter(
      int partitionCount, double callsPerSecond, double timeoutMicros, double maxQueueMicros) {}

  /**
   * A fault: when, how long, on what part of the servers and of what size; steps hold what stops
   * when.
   */
  public record DayFault(
      String kind,
      double atSecond,
      double seconds,
      double backendShare,
      double size,
      double extra,
      String mode,
      int planIndex,
      List<FleetStep> steps) {}

  /** Servers, as a share of all, that stop and start at a second. */
  public record FleetStep(double atSecond, double stoppedShare, double startedShare) {}

  /**
   * Reads a day file.
   *
   * @throws IOException saying what is missing, when it is no such file
   */
  public static DayFile read(Path file) throws IOException {
    if (java.nio.file.Files.size(file) > MAX_BYTES) {
      throw new IOException(file + ": over 64 MiB, expected a day file");
    }
    JsonNode day = new ObjectMapper().readTree(file.toFile());
    for (String needed :
        List.of(
            "length",
            "classes",
            "tenants",
            "tiers",
            "servers",
            "balancers",
            "troubles",
            "fam",
            "traffic")) {
      if (day == null || !day.has(needed)) {
        throw new IOException(file + ": no '" + needed + "', expected a day file of lbsim draw");
      }
    }
    int servers = Math.max(1, day.get("servers").size());
    JsonNode machine = day.at("/tiers/0/kinds/0");
    List<DayRequestClass> kinds = new ArrayList<>();
    for (JsonNode c : day.get("classes")) {
      kinds.add(
          new DayRequestClass(
              c.path("name").asText(),
              c.path("share").asDouble(1),
              c.path("work").asLong(1),
              c.path("aim").asLong(),
              c.path("deadline").asLong(),
              idempotencyOf(c.path("effect").asText()),
              c.path("window").asLong()));
    }
    List<DayPlan> plans = new ArrayList<>();
    int i = 0;
    for (JsonNode p : day.at("/fam/plans")) {
      JsonNode tenant = day.get("tenants").path(i++);
      plans.add(
          new DayPlan(
              tenant.path("name").asText("plan-" + i),
              tenant.path("share").asDouble(),
              p.path("rate").asDouble(),
              p.path("burst").asDouble(),
              p.path("price").asDouble(1),
              p.path("over_cost").asDouble(),
              Math.max(1, p.path("customers").asInt(1)),
              Math.max(
                  1,
                  (int)
                      Math.round(
                          p.path("spread").path(0).asDouble(1) * day.get("balancers").size()))));
    }
    List<DayFault> troubles = new ArrayList<>();
    for (JsonNode t : day.get("troubles")) {
      List<FleetStep> steps = new ArrayList<>();
      for (JsonNode s : t.path("steps")) {
        steps.add(
            new FleetStep(
                s.path("at").asDouble() / 1e6,
                (double) s.path("stop").size() / servers,
                (double) s.path("start").size() / servers));
      }
      troubles.add(
          new DayFault(
              t.path("kind").asText(),
              t.path("at").asDouble() / 1e6,
              t.path("len").asDouble() / 1e6,
              (double) t.path("on").size() / servers,
              t.path("size").asDouble(),
              t.path("extra").asDouble(),
              t.path("how").asText(""),
              t.path("which").asInt(),
              steps));
    }
    return new DayFile(
        day.path("site").asText(file.getFileName().toString()),
        day.get("length").asDouble() / 1e6,
        day.get("balancers").size(),
        servers,
        day.at("/traffic/load").asDouble(0.5),
        day.at("/clients/retries").asInt(1),
        day.path("drain_grace").asDouble(2e6),
        day.path("fall_multiple").asDouble(2),
        day.path("fall_for").asDouble(2e6),
        new DayBackend(
            machine.path("cores").asInt(2),
            machine.path("queue").asInt(50),
            machine.path("cold_from").asDouble(0.2),
            machine.path("cold").asDouble(10e6)),
        List.copyOf(kinds),
        List.copyOf(plans),
        day.at("/fam/full").asDouble(0.15),
        day.at("/fam/heavy").asDouble(0.1),
        day.at("/fam/calm").asDouble(0.4),
        List.copyOf(troubles),
        new DayCounter(
            day.at("/fam/counter/parts").asInt(1),
            day.at("/fam/counter/per_s").asDouble(1_000),
            day.at("/fam/counter/timeout").asDouble(30_000),
            day.at("/fam/counter/queue").asDouble()),
        day.at("/net/same").asDouble(200),
        day.at("/discovery/notice").asDouble(1_000_000));
  }

  private static Idempotency idempotencyOf(String effect) {
    return switch (effect.toLowerCase(Locale.ROOT)) {
      case "safe" -> Idempotency.IDEMPOTENT;
      case "keyed" -> Idempotency.DEDUPLICATED;
      default -> Idempotency.AT_MOST_ONCE;
    };
  }
}
