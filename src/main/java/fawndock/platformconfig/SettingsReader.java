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
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads the settings object and its words. */
public final class SettingsReader {
  private static final Map<String, String> LOAD_NAMES =
      Map.of(
          "outstanding",
          "inFlight",
          "backlog",
          "queue",
          "utilization",
          "utilization",
          "recent_ms",
          "recentMillis",
          "throughput",
          "throughput",
          "errors_per_s",
          "errors");

  private SettingsReader() {}

  /**
   * Reads the settings object.
   *
   * @param seed of random numbers
   */
  public static PolicyConfig settings(JsonObject o, long seed) {
    JsonObject caps = o.objectOr("caps");
    JsonObject rules = o.objectOr("rules");
    JsonObject extra = o.objectOr("extra");
    return new PolicyConfig(
        (int) o.integerOr("me", 0),
        (int) o.integerOr("peers-total", 1),
        seed,
        o.integerOr("round-us", 1000),
        o.textOr("locality", ""),
        o.textOr("registry-mode", "automatic").equals("subscribe"),
        o.objectsOr("classes").stream().map(SettingsReader::requestClass).toList(),
        o.objectsOr("packages").stream().map(SettingsReader::plan).toList(),
        new GatewayLimits(
            (int) caps.integerOr("max-attempts", 1),
            (int) caps.integerOr("max-open", Integer.MAX_VALUE),
            caps.integerOr("max-retry-after-us", 0),
            caps.flag("may-duplicate"),
            caps.flag("cancel"),
            caps.flag("probes"),
            caps.flag("peers"),
            caps.flag("retry-after")),
        new ServiceRules(
            rules.integerOr("grace-to-answer-us", 0),
            rules.integerOr("drain-grace-us", 0),
            rules.numberOr("cold-share", 1),
            rules.integerOr("cold-us", 0),
            rules.numberOr("fall-multiple", 1),
            rules.integerOr("fall-us", 0),
            rules.integerOr("ask-within-us", 0)),
        new CounterConfig(
            extra.flag("counter"), extra.integerOr("count-wait-us", 0), extra.flag("trued-up")));
  }

  private static RequestClass requestClass(JsonObject c) {
    long deadline = c.integer("deadline-us");
    return new RequestClass(
        c.text("name"),
        c.integerOr("aim-us", deadline),
        c.numberOr("aim-stretch", 0),
        deadline,
        c.numberOr("worth", 1),
        c.numberOr("late-worth", 0),
        constant(Idempotency.class, c.textOr("idempotency", "at_most_once")),
        constant(DeduplicationScope.class, c.textOr("group", "cell")),
        c.integerOr("window-us", 0),
        c.flag("streaming"));
  }

  private static Plan plan(JsonObject p) {
    return new Plan(
        p.text("name"),
        p.numberOr("rate", 0),
        p.numberOr("store-size", 0),
        (int) p.integerOr("concurrency", 0),
        p.numberOr("pays", 1),
        p.numberOr("extra-worth", 0),
        p.numberOr("over-cost", 0),
        p.numberOr("hard-rate", 0),
        p.numberOr("ceiling-burst", 0),
        p.numberOr("tolerance", 0));
  }

  /** A load report under the names that decisions know; what they do not know is left out. */
  public static Map<String, Double> load(JsonObject stats) {
    return load(stats.all());
  }

  /** The same of plain names and values; those that are no numbers are left out. */
  public static Map<String, Double> load(Map<String, ?> stats) {
    Map<String, Double> load = new LinkedHashMap<>();
    stats.forEach(
        (name, value) -> {
          if (LOAD_NAMES.containsKey(name) && value instanceof Number number) {
            load.put(LOAD_NAMES.get(name), number.doubleValue());
          }
        });
    return load;
  }

  /** The constant that a word names, whatever its case. */
  public static <T extends Enum<T>> T constant(Class<T> type, String word) {
    for (T each : type.getEnumConstants()) {
      if (each.name().equalsIgnoreCase(word)) {
        return each;
      }
    }
    throw new MalformedMessageException("unknown word '" + word + "'");
  }
}
