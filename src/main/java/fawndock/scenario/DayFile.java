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
 * The part of a generated day file that scenarios use: fleet size, request classes, plans, load and
 * faults. The numbers are those of the day; {@link DayScenario} scales them to its own fleet.
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

  /** The configuration of the backends. */
  public record DayBackend(
      int cores, int queueCapacity, double slowStartShare, double slowStartMicros) {}

  /** A request class and its share of the requests. */
  public record DayRequestClass(
      String name,
      double share,
      long workMicros,
      long latencyObjectiveMicros,
      long deadlineMicros,
      Idempotency idempotency,
      long deduplicationWindowMicros) {}

  /**
   * A plan, its share of the use within quotas, its number of customers, and the number of gateways
   * through which each customer sends.
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
   * The counter: its partitions, the calls a second that each of them handles, how long a gateway
   * waits for a reply, and the longest queueing delay.
   */
  public record DayCounter(
      int partitionCount, double callsPerSecond, double timeoutMicros, double maxQueueMicros) {}

  /**
   * A fault: its kind, time, duration, the share of the backends that it affects, and its size. The
   * steps describe how a deployment or a scale-down changes the fleet.
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

  /** Shares of the backends that are stopped and started at a second of the day. */
  public record FleetStep(double atSecond, double stoppedShare, double startedShare) {}

  /**
   * Reads a day file.
   *
   * @throws IOException if the file is over 64 MiB or lacks a field, which the message names
   */
  public static DayFile read(Path file) throws IOException {
    if (java.nio.file.Files.size(file) > MAX_BYTES) {
      throw new IOException(file + ": over 64 MiB, expected a day file");
    }
    JsonNode day = new ObjectMapper().readTree(file.toFile());
    for (String field :
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
      if (day == null || !day.has(field)) {
        throw new IOException(file + ": no '" + field + "', expected a day file of lbsim draw");
      }
    }
    int serverCount = Math.max(1, day.get("servers").size());
    JsonNode serverKind = day.at("/tiers/0/kinds/0");
    List<DayRequestClass> requestClasses = new ArrayList<>();
    for (JsonNode classNode : day.get("classes")) {
      requestClasses.add(
          new DayRequestClass(
              classNode.path("name").asText(),
              classNode.path("share").asDouble(1),
              classNode.path("work").asLong(1),
              classNode.path("aim").asLong(),
              classNode.path("deadline").asLong(),
              idempotencyOf(classNode.path("effect").asText()),
              classNode.path("window").asLong()));
    }
    List<DayPlan> plans = new ArrayList<>();
    int planCount = 0;
    for (JsonNode planNode : day.at("/fam/plans")) {
      JsonNode tenantNode = day.get("tenants").path(planCount++);
      plans.add(
          new DayPlan(
              tenantNode.path("name").asText("plan-" + planCount),
              tenantNode.path("share").asDouble(),
              planNode.path("rate").asDouble(),
              planNode.path("burst").asDouble(),
              planNode.path("price").asDouble(1),
              planNode.path("over_cost").asDouble(),
              Math.max(1, planNode.path("customers").asInt(1)),
              Math.max(
                  1,
                  (int)
                      Math.round(
                          planNode.path("spread").path(0).asDouble(1)
                              * day.get("balancers").size()))));
    }
    List<DayFault> faults = new ArrayList<>();
    for (JsonNode faultNode : day.get("troubles")) {
      List<FleetStep> steps = new ArrayList<>();
      for (JsonNode stepNode : faultNode.path("steps")) {
        steps.add(
            new FleetStep(
                stepNode.path("at").asDouble() / 1e6,
                (double) stepNode.path("stop").size() / serverCount,
                (double) stepNode.path("start").size() / serverCount));
      }
      faults.add(
          new DayFault(
              faultNode.path("kind").asText(),
              faultNode.path("at").asDouble() / 1e6,
              faultNode.path("len").asDouble() / 1e6,
              (double) faultNode.path("on").size() / serverCount,
              faultNode.path("size").asDouble(),
              faultNode.path("extra").asDouble(),
              faultNode.path("how").asText(""),
              faultNode.path("which").asInt(),
              steps));
    }
    return new DayFile(
        day.path("site").asText(file.getFileName().toString()),
        day.get("length").asDouble() / 1e6,
        day.get("balancers").size(),
        serverCount,
        day.at("/traffic/load").asDouble(0.5),
        day.at("/clients/retries").asInt(1),
        day.path("drain_grace").asDouble(2e6),
        day.path("fall_multiple").asDouble(2),
        day.path("fall_for").asDouble(2e6),
        new DayBackend(
            serverKind.path("cores").asInt(2),
            serverKind.path("queue").asInt(50),
            serverKind.path("cold_from").asDouble(0.2),
            serverKind.path("cold").asDouble(10e6)),
        List.copyOf(requestClasses),
        List.copyOf(plans),
        day.at("/fam/full").asDouble(0.15),
        day.at("/fam/heavy").asDouble(0.1),
        day.at("/fam/calm").asDouble(0.4),
        List.copyOf(faults),
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
