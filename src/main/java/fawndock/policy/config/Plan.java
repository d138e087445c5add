package fawndock.policy.config;

/**
 * A plan: the quotas of each customer on it, and what its requests are worth. A quota of 0 is none.
 *
 * @param name the plan's name
 * @param unitsPerSecond rate, in units per second
 * @param burstUnits units that a customer may use at once; with 0, those of one second
 * @param maxConcurrent attempts in flight at once
 * @param priorityWeight factor of its requests' value, 1 for the usual one
 * @param overQuotaValue value of serving a request over quota, 1 being that of one within quota
 * @param overQuotaCost cost of serving a request over quota, in the same measure
 * @param ceilingUnitsPerSecond rate that is never passed, in units per second
 * @param ceilingBurstUnits units that may be used at once under that rate
 * @param ceilingToleranceUnits units by which the ceiling may be passed; used by the conformance
 *     checks
 */
public record Plan(
    String name,
    double unitsPerSecond,
    double burstUnits,
    int maxConcurrent,
    double priorityWeight,
    double overQuotaValue,
    double overQuotaCost,
    double ceilingUnitsPerSecond,
    double ceilingBurstUnits,
    double ceilingToleranceUnits) {}
