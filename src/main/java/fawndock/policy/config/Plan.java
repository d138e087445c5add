package fawndock.policy.config;

/**
 * The quotas of each customer on a plan, and the value of its requests. A quota of 0 means that
 * there is none.
 *
 * @param name name of the plan
 * @param unitsPerSecond rate, in units per second
 * @param burstUnits units that a customer may use at once; 0 means the units of one second
 * @param maxConcurrent maximum number of attempts in flight
 * @param priorityWeight factor of the value of its requests; 1 is the usual value
 * @param overQuotaValue value of serving a request over quota, relative to a request within quota
 * @param overQuotaCost cost of serving a request over quota, on the same scale
 * @param ceilingUnitsPerSecond rate that is never exceeded, in units per second
 * @param ceilingBurstUnits units that may be used at once under that rate
 * @param ceilingToleranceUnits units by which the ceiling may be exceeded; used by the conformance
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
