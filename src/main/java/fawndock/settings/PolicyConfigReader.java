package fawndock.settings;

import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;

/**
 * Reads the lines that configure the policy, which gateways and simulated deployments share:
 * request classes, plans, limits and service rules. Stateless.
 */
public final class PolicyConfigReader {
  static final long MAX_TIME_MICROS = 3_600_000_000L;
  static final double MAX_AMOUNT = 1e9;

  private PolicyConfigReader() {}

  /** Reads the request class of a {@code class} line. */
  public static RequestClass readRequestClass(LineArguments a) {
    long deadline = a.micros("deadline", 1_000, MAX_TIME_MICROS, 1_000_000);
    RequestClass requestClass =
        new RequestClass(
            a.positional(0),
            a.micros("aim", 1_000, MAX_TIME_MICROS, deadline),
            a.number("aim-stretch", 0, MAX_AMOUNT, 0),
            deadline,
            a.number("worth", 0, MAX_AMOUNT, 1),
            a.number("late-worth", 0, 1, 0),
            a.enumConstant("repeat", Idempotency.class, Idempotency.AT_MOST_ONCE),
            a.enumConstant("group", DeduplicationScope.class, DeduplicationScope.CELL),
            a.micros("window", 0, MAX_TIME_MICROS, 0),
            a.flag("streamed", false));
    if (requestClass.latencyObjectiveMicros() > requestClass.deadlineMicros()) {
      a.addError(
          "the aim of " + requestClass.name() + " is beyond its deadline", "aim at most deadline");
    }
    if (requestClass.idempotency() == Idempotency.DEDUPLICATED
        && requestClass.deduplicationWindowMicros() == 0) {
      a.addError(
          "class " + requestClass.name() + " is deduplicated without a window", "window TIME");
    }
    return requestClass;
  }

  /** Reads the plan of a {@code plan} line. */
  public static Plan readPlan(LineArguments a) {
    Plan plan =
        new Plan(
            a.positional(0),
            a.number("rate", 0, MAX_AMOUNT, 0),
            a.number("store", 0, MAX_AMOUNT, 0),
            a.integer("open", 0, 1_000_000, 0),
            a.number("pays", 0, MAX_AMOUNT, 1),
            a.number("over-worth", 0, MAX_AMOUNT, 0),
            a.number("over-cost", 0, MAX_AMOUNT, 0),
            a.number("ceiling-rate", 0, MAX_AMOUNT, 0),
            a.number("ceiling-burst", 0, MAX_AMOUNT, 0),
            a.number("ceiling-slack", 0, MAX_AMOUNT, 0));
    if (plan.unitsPerSecond() > 0 && plan.burstUnits() <= 0) {
      a.addError("plan " + plan.name() + " has a rate and no store", "store N above 0");
    }
    if (plan.ceilingUnitsPerSecond() > 0 && plan.ceilingBurstUnits() <= 0) {
      a.addError(
          "plan " + plan.name() + " has a ceiling-rate and no ceiling-burst",
          "ceiling-burst N above 0");
    }
    return plan;
  }

  /** Reads the limits of a {@code limits} line. */
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

  /** Reads the service rules of a {@code rules} line. */
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
