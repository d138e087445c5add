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
public final class PolicyConfigReader {
  static final long MAX_TIME_MICROS = 3_600_000_000L;
  static final double MAX_AMOUNT = 1e9;

  private PolicyConfigReader() {}

  /** Reads what a {@code class} line says. */
  public static RequestClass readRequestClass(LineArguments a) {
    long deadline = a.micros("deadline", 1_000, MAX_TIME_MICROS, 1_000_000);
    RequestClass c =
        new RequestClass(
            a.word(0),
            a.micros("aim", 1_000, MAX_TIME_MICROS, deadline),
            a.number("aim-stretch", 0, MAX_AMOUNT, 0),
            deadline,
            a.number("worth", 0, MAX_AMOUNT, 1),
            a.number("late-worth", 0, 1, 0),
            a.enumConstant("repeat", Idempotency.class, Idempotency.AT_MOST_ONCE),
            a.enumConstant("group", DeduplicationScope.class, DeduplicationScope.CELL),
            a.micros("window", 0, MAX_TIME_MICROS, 0),
            a.flag("streamed", false));
    if (c.latencyObjectiveMicros() > c.deadlineMicros()) {
      a.addError("the aim of " + c.name() + " is beyond its deadline", "aim at most deadline");
    }
    if (c.idempotency() == Idempotency.DEDUPLICATED && c.deduplicationWindowMicros() == 0) {
      a.addError("class " + c.name() + " is deduplicated without a window", "window TIME");
    }
    return c;
  }

  /** Reads what a {@code plan} line says. */
  public static Plan readPlan(LineArguments a) {
    Plan p =
        new Plan(
            a.word(0),
            a.number("rate", 0, MAX_AMOUNT, 0),
            a.number("store", 0, MAX_AMOUNT, 0),
            a.integer("open", 0, 1_000_000, 0),
            a.number("pays", 0, MAX_AMOUNT, 1),
            a.number("over-worth", 0, MAX_AMOUNT, 0),
            a.number("over-cost", 0, MAX_AMOUNT, 0),
            a.number("ceiling-rate", 0, MAX_AMOUNT, 0),
            a.number("ceiling-burst", 0, MAX_AMOUNT, 0),
            a.number("ceiling-slack", 0, MAX_AMOUNT, 0));
    if (p.unitsPerSecond() > 0 && p.burstUnits() <= 0) {
      a.addError("plan " + p.name() + " has a rate and no store", "store N above 0");
    }
    if (p.ceilingUnitsPerSecond() > 0 && p.ceilingBurstUnits() <= 0) {
      a.addError(
          "plan " + p.name() + " has a ceiling-rate and no ceiling-burst",
          "ceiling-burst N above 0");
    }
    return p;
  }

  /** Reads what a {@code limits} line says. */
  public static GatewayLimits readLimits(LineArguments a) {
    return new GatewayLimits(
        a.integer("attempts", 1, 100, 3),
        a.integer("open", 1, 1_000_000, 10_000),
        a.micros("retry-after", 0, MAX_TIME_MICROS, 30_000_000),
        a.flag("duplicates", false),
        a.flag("cancel", true),
        a.flag("probes", false),
        a.flag("peers", true),
        true);
  }

  /** Reads what a {@code rules} line says. */
  public static ServiceRules readRules(LineArguments a) {
    return new ServiceRules(
        a.micros("answer-grace", 0, MAX_TIME_MICROS, 10_000),
        a.micros("drain-grace", 0, MAX_TIME_MICROS, 2_000_000),
        a.number("cold-share", 0, 1, 0.2),
        a.micros("cold-time", 0, MAX_TIME_MICROS, 10_000_000),
        a.number("fall-multiple", 1, MAX_AMOUNT, 2),
        a.micros("fall-time", 1_000, MAX_TIME_MICROS, 2_000_000),
        a.micros("ask-within", 1_000, MAX_TIME_MICROS, 10_000_000));
  }
}
