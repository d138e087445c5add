package fawndock.settings;

import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;

/**
 * Reads the lines that configure the policy: request classes, plans, limits and service rules. The
 * settings files of gateways and of simulated deployments both contain them. Stateless.
 */
public final class PolicyConfigReader {
  static final long MAX_TIME_MICROS = 3_600_000_000L;
  static final double MAX_AMOUNT = 1e9;

  private PolicyConfigReader() {}

  /** Reads a request class from a {@code class} line. */
  public static RequestClass readRequestClass(LineArguments arguments) {
    long deadline = arguments.micros("deadline", 1_000, MAX_TIME_MICROS, 1_000_000);
    RequestClass requestClass =
        new RequestClass(
            arguments.positional(0),
            arguments.micros("aim", 1_000, MAX_TIME_MICROS, deadline),
            arguments.number("aim-stretch", 0, MAX_AMOUNT, 0),
            deadline,
            arguments.number("worth", 0, MAX_AMOUNT, 1),
            arguments.number("late-worth", 0, 1, 0),
            arguments.enumConstant("repeat", Idempotency.class, Idempotency.AT_MOST_ONCE),
            arguments.enumConstant("group", DeduplicationScope.class, DeduplicationScope.CELL),
            arguments.micros("window", 0, MAX_TIME_MICROS, 0),
            arguments.flag("streamed", false));
    if (requestClass.latencyObjectiveMicros() > requestClass.deadlineMicros()) {
      arguments.addError(
          "the aim of " + requestClass.name() + " is beyond its deadline", "aim at most deadline");
    }
    if (requestClass.idempotency() == Idempotency.DEDUPLICATED
        && requestClass.deduplicationWindowMicros() == 0) {
      arguments.addError(
          "class " + requestClass.name() + " is deduplicated without a window", "window TIME");
    }
    return requestClass;
  }

  /** Reads a plan from a {@code plan} line. */
  public static Plan readPlan(LineArguments arguments) {
    Plan plan =
        new Plan(
            arguments.positional(0),
            arguments.number("rate", 0, MAX_AMOUNT, 0),
            arguments.number("store", 0, MAX_AMOUNT, 0),
            arguments.integer("open", 0, 1_000_000, 0),
            arguments.number("pays", 0, MAX_AMOUNT, 1),
            arguments.number("over-worth", 0, MAX_AMOUNT, 0),
            arguments.number("over-cost", 0, MAX_AMOUNT, 0),
            arguments.number("ceiling-rate", 0, MAX_AMOUNT, 0),
            arguments.number("ceiling-burst", 0, MAX_AMOUNT, 0),
            arguments.number("ceiling-slack", 0, MAX_AMOUNT, 0));
    if (plan.unitsPerSecond() > 0 && plan.burstUnits() <= 0) {
      arguments.addError("plan " + plan.name() + " has a rate and no store", "store N above 0");
    }
    if (plan.ceilingUnitsPerSecond() > 0 && plan.ceilingBurstUnits() <= 0) {
      arguments.addError(
          "plan " + plan.name() + " has a ceiling-rate and no ceiling-burst",
          "ceiling-burst N above 0");
    }
    return plan;
  }

  /** Reads the limits from a {@code limits} line. */
  public static GatewayLimits readLimits(LineArguments arguments) {
    return new GatewayLimits(
        arguments.integer("attempts", 1, 100, 3),
        arguments.integer("open", 1, 1_000_000, 10_000),
        arguments.micros("retry-after", 0, MAX_TIME_MICROS, 30_000_000),
        arguments.flag("duplicates", false),
        arguments.flag("cancel", true),
        arguments.flag("probes", false),
        arguments.flag("peers", true),
        true);
  }

  /** Reads the service rules from a {@code rules} line. */
  public static ServiceRules readRules(LineArguments arguments) {
    return new ServiceRules(
        arguments.micros("answer-grace", 0, MAX_TIME_MICROS, 10_000),
        arguments.micros("drain-grace", 0, MAX_TIME_MICROS, 2_000_000),
        arguments.number("cold-share", 0, 1, 0.2),
        arguments.micros("cold-time", 0, MAX_TIME_MICROS, 10_000_000),
        arguments.number("fall-multiple", 1, MAX_AMOUNT, 2),
        arguments.micros("fall-time", 1_000, MAX_TIME_MICROS, 2_000_000),
        arguments.micros("ask-within", 1_000, MAX_TIME_MICROS, 10_000_000));
  }
}
