package fawndock.platformconfig;

import fawndock.platformconfig.Json.JsonObject;
import fawndock.policy.config.CounterConfig;
import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import fawndock.policy.event.LoadReport;
import java.util.Map;

/**
 * Reads the settings object, whose keys are in {@link SettingsKeys}, and the load reports and enum
 * names that the platform's and the simulator's protocols share. Stateless and thread-safe.
 */
public final class SettingsReader {
  private SettingsReader() {}

  /**
   * Reads the settings object.
   *
   * @param randomSeed seed of the policy's random numbers
   * @throws MalformedMessageException when a required key is missing or a value has the wrong type
   */
  public static PolicyConfig readPolicyConfig(JsonObject settings, long randomSeed) {
    String discoveryMode =
        settings.textOr(SettingsKeys.DISCOVERY_MODE, SettingsKeys.DISCOVERY_MODE_AUTOMATIC);
    return new PolicyConfig(
        (int) settings.integerOr(SettingsKeys.INSTANCE_INDEX, 0),
        (int) settings.integerOr(SettingsKeys.INSTANCE_COUNT, 1),
        randomSeed,
        settings.integerOr(SettingsKeys.ROUND_TRIP_MICROS, 1_000),
        settings.textOr(SettingsKeys.ZONE, ""),
        discoveryMode.equals(SettingsKeys.DISCOVERY_MODE_WATCH),
        settings.objectsOrEmpty(SettingsKeys.REQUEST_CLASSES).stream()
            .map(SettingsReader::readRequestClass)
            .toList(),
        settings.objectsOrEmpty(SettingsKeys.PLANS).stream().map(SettingsReader::readPlan).toList(),
        readLimits(settings.objectOrEmpty(SettingsKeys.LIMITS)),
        readRules(settings.objectOrEmpty(SettingsKeys.RULES)),
        readCounterConfig(settings.objectOrEmpty(SettingsKeys.EXTRAS)));
  }

  private static GatewayLimits readLimits(JsonObject limits) {
    return new GatewayLimits(
        (int) limits.integerOr(SettingsKeys.MAX_ATTEMPTS, 1),
        (int) limits.integerOr(SettingsKeys.MAX_IN_FLIGHT, Integer.MAX_VALUE),
        limits.integerOr(SettingsKeys.MAX_RETRY_AFTER_MICROS, 0),
        limits.booleanOrFalse(SettingsKeys.ALLOWS_HEDGING),
        limits.booleanOrFalse(SettingsKeys.ALLOWS_CANCELLATION),
        limits.booleanOrFalse(SettingsKeys.ALLOWS_HEALTH_CHECKS),
        limits.booleanOrFalse(SettingsKeys.ALLOWS_PEER_MESSAGES),
        limits.booleanOrFalse(SettingsKeys.ALLOWS_RETRY_AFTER));
  }

  private static ServiceRules readRules(JsonObject rules) {
    return new ServiceRules(
        rules.integerOr(SettingsKeys.ANSWER_GRACE_MICROS, 0),
        rules.integerOr(SettingsKeys.DRAIN_GRACE_MICROS, 0),
        rules.numberOr(SettingsKeys.SLOW_START_INITIAL_RATIO, 1),
        rules.integerOr(SettingsKeys.SLOW_START_MICROS, 0),
        rules.numberOr(SettingsKeys.SLOW_START_OVERLOAD_RATIO, 1),
        rules.integerOr(SettingsKeys.SLOW_START_OVERLOAD_WINDOW_MICROS, 0),
        rules.integerOr(SettingsKeys.WATCH_WITHIN_MICROS, 0));
  }

  private static CounterConfig readCounterConfig(JsonObject extras) {
    return new CounterConfig(
        extras.booleanOrFalse(SettingsKeys.HAS_COUNTER),
        extras.integerOr(SettingsKeys.COUNTER_TIMEOUT_MICROS, 0),
        extras.booleanOrFalse(SettingsKeys.SETTLES_UNITS));
  }

  private static RequestClass readRequestClass(JsonObject entry) {
    long deadlineMicros = entry.integer(SettingsKeys.DEADLINE_MICROS);
    return new RequestClass(
        entry.text(SettingsKeys.NAME),
        entry.integerOr(SettingsKeys.LATENCY_OBJECTIVE_MICROS, deadlineMicros),
        entry.numberOr(SettingsKeys.LATENCY_OBJECTIVE_STRETCH, 0),
        deadlineMicros,
        entry.numberOr(SettingsKeys.CLASS_PRIORITY_WEIGHT, 1),
        entry.numberOr(SettingsKeys.LATE_PRIORITY_WEIGHT, 0),
        parseEnum(Idempotency.class, entry.textOr(SettingsKeys.IDEMPOTENCY, "at_most_once")),
        parseEnum(DeduplicationScope.class, entry.textOr(SettingsKeys.DEDUPLICATION_SCOPE, "cell")),
        entry.integerOr(SettingsKeys.DEDUPLICATION_WINDOW_MICROS, 0),
        entry.booleanOrFalse(SettingsKeys.IS_STREAMED));
  }

  private static Plan readPlan(JsonObject entry) {
    return new Plan(
        entry.text(SettingsKeys.NAME),
        entry.numberOr(SettingsKeys.UNITS_PER_SECOND, 0),
        entry.numberOr(SettingsKeys.BURST_UNITS, 0),
        (int) entry.integerOr(SettingsKeys.MAX_CONCURRENT, 0),
        entry.numberOr(SettingsKeys.PLAN_PRIORITY_WEIGHT, 1),
        entry.numberOr(SettingsKeys.OVER_QUOTA_VALUE, 0),
        entry.numberOr(SettingsKeys.OVER_QUOTA_COST, 0),
        entry.numberOr(SettingsKeys.CEILING_UNITS_PER_SECOND, 0),
        entry.numberOr(SettingsKeys.CEILING_BURST_UNITS, 0),
        entry.numberOr(SettingsKeys.CEILING_TOLERANCE_UNITS, 0));
  }

  /** Reads a load report; unknown metrics are ignored. */
  public static LoadReport readLoadReport(JsonObject metrics) {
    return readLoadReport(metrics.all());
  }

  /** Reads a load report from metric names and values; values that are not numbers are ignored. */
  public static LoadReport readLoadReport(Map<String, ?> metrics) {
    LoadReport.Builder load = new LoadReport.Builder();
    metrics.forEach(
        (name, value) -> {
          if (value instanceof Number number) {
            setMetric(name, number.doubleValue(), load);
          }
        });
    return load.build();
  }

  private static void setMetric(String name, double value, LoadReport.Builder load) {
    switch (name) {
      case "outstanding" -> load.inFlightRequests(value);
      case "backlog" -> load.queuedRequests(value);
      case "utilization" -> load.utilization(value);
      case "recent_ms" -> load.recentMillis(value);
      case "throughput" -> load.requestsPerSecond(value);
      case "errors_per_s" -> load.errorsPerSecond(value);
      default -> {
        // The policy does not use other metrics.
      }
    }
  }

  /**
   * Returns the enum constant with this name, ignoring case.
   *
   * @throws MalformedMessageException when there is no such constant
   */
  public static <T extends Enum<T>> T parseEnum(Class<T> type, String name) {
    for (T constant : type.getEnumConstants()) {
      if (constant.name().equalsIgnoreCase(name)) {
        return constant;
      }
    }
    throw new MalformedMessageException("unknown word '" + name + "'");
  }
}
