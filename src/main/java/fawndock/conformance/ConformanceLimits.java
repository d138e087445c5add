package fawndock.conformance;

import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import java.util.Map;

/**
 * The configured limits that a trace is checked against.
 *
 * @param requestClasses by name
 * @param rules durations and ratios of the five rules
 * @param customerPlans each customer's plan, by the customer's name
 * @param toleranceMicros added to each time limit, for the delay between a socket and its record
 */
public record ConformanceLimits(
    Map<String, RequestClass> requestClasses,
    ServiceRules rules,
    Map<String, Plan> customerPlans,
    long toleranceMicros) {}
