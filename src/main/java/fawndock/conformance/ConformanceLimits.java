package fawndock.conformance;

import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import java.util.Map;

/**
 * What the judge holds a trace against.
 *
 * @param classes the request classes by name
 * @param rules the figures of the rules
 * @param plans each customer's plan, for its ceiling
 * @param slackMicros allowed on top of each time limit, for the way between a socket and the record
 *     of it
 */
public record ConformanceLimits(
    Map<String, RequestClass> classes,
    ServiceRules rules,
    Map<String, Plan> plans,
    long slackMicros) {}
