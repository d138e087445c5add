package fawndock.conformance;

import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import java.util.Map;

/**
 * What the judge holds a trace against.
 *
 * @param requestClasses the request classes by name
 * @param rules the figures of the rules
 * @param customerPlans each customer's plan, for its ceiling
 * @param toleranceMicros allowed on top of each time limit, for the way between a socket and the
 *     record of it
 */
public record ConformanceLimits(
    Map<String, RequestClass> requestClasses,
    ServiceRules rules,
    Map<String, Plan> customerPlans,
    long toleranceMicros) {}
