package fawndock.conformance;

import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import java.util.Map;

/**
 * The configured limits against which a trace is checked. Immutable.
 *
 * @param requestClasses request classes by name
 * @param rules durations and ratios of the five rules
 * @param customerPlans plans by customer name
 * @param toleranceMicros added to each time limit, because an event is recorded some time after it
 *     crosses the socket
 */
public record ConformanceLimits(
    Map<String, RequestClass> requestClasses,
    ServiceRules rules,
    Map<String, Plan> customerPlans,
    long toleranceMicros) {}
