package fawndock.settings;

import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;

/**
 * The entries that a gatekeeper is started with: what a line says, and what in it does not go
 * together.
 */
public final class Entries {
  static final long HOUR = 3_600_000_000L;
  static final double MANY = 1e9;

  private Entries() {}

  /** Reads what a {@code class} line says. */
  public static RequestClass requestClass(LineArguments a) {
    long deadline = a.time("deadline", 1_000, HOUR, 1_000_000);
    RequestClass c =
        new RequestClass(
            a.place(0),
            a.time("aim", 1_000, HOUR, deadline),
            a.number("aim-stretch", 0, MANY, 0),
            deadline,
            a.number("worth", 0, MANY, 1),
            a.number("late-worth", 0, 1, 0),
            a.oneOf("repeat", Idempotency.class, Idempotency.AT_MOST_ONCE),
            a.oneOf("group", DeduplicationScope.class, DeduplicationScope.CELL),
            a.time("window", 0, HOUR, 0),
            a.flag("streamed", false));
    if (c.latencyObjectiveMicros() > c.deadlineMicros()) {
      a.wrong("the aim of " + c.name() + " is beyond its deadline", "aim at most deadline");
    }
    if (c.idempotency() == Idempotency.DEDUPLICATED && c.deduplicationWindowMicros() == 0) {
      a.wrong("class " + c.name() + " is deduplicated without a window", "window TIME");
    }
    return c;
  }

  /** Reads what a {@code plan} line says. */
  public static Plan plan(LineArguments a) {
    Plan p =
        new Plan(
            a.place(0),
            a.number("rate", 0, MANY, 0),
            a.number("store", 0, MANY, 0),
            a.whole("open", 0, 1_000_000, 0),
            a.number("pays", 0, MANY, 1),
            a.number("over-worth", 0, MANY, 0),
            a.number("over-cost", 0, MANY, 0),
            a.number("ceiling-rate", 0, MANY, 0),
            a.number("ceiling-burst", 0, MANY, 0),
            a.number("ceiling-slack", 0, MANY, 0));
    if (p.unitsPerSecond() > 0 && p.burstUnits() <= 0) {
      a.wrong("plan " + p.name() + " has a rate and no store", "store N above 0");
    }
    if (p.ceilingUnitsPerSecond() > 0 && p.ceilingBurstUnits() <= 0) {
      a.wrong(
          "plan " + p.name() + " has a ceiling-rate and no ceiling-burst",
          "ceiling-burst N above 0");
    }
    return p;
  }

  /** Reads what a {@code limits} line says. */
  public static GatewayLimits limits(LineArguments a) {
    return new GatewayLimits(
        a.whole("attempts", 1, 100, 3),
        a.whole("open", 1, 1_000_000, 10_000),
        a.time("retry-after", 0, HOUR, 30_000_000),
        a.flag("duplicates", false),
        a.flag("cancel", true),
        a.flag("probes", false),
        a.flag("peers", true),
        true);
  }

  /** Reads what a {@code rules} line says. */
  public static ServiceRules rules(LineArguments a) {
    return new ServiceRules(
        a.time("answer-grace", 0, HOUR, 10_000),
        a.time("drain-grace", 0, HOUR, 2_000_000),
        a.number("cold-share", 0, 1, 0.2),
        a.time("cold-time", 0, HOUR, 10_000_000),
        a.number("fall-multiple", 1, MANY, 2),
        a.time("fall-time", 1_000, HOUR, 2_000_000),
        a.time("ask-within", 1_000, HOUR, 10_000_000));
  }
}
