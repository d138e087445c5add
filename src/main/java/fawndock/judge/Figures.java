package fawndock.judge;

import fawndock.Gatekeeper.Plan;
import fawndock.Gatekeeper.RequestClass;
import fawndock.Gatekeeper.Rules;
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
public record Figures(
    Map<String, RequestClass> classes, Rules rules, Map<String, Plan> plans, long slackMicros) {}
