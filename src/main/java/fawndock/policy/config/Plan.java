package fawndock.policy.config;

/**
 * A plan's quotas for each customer: a rate with a store, a cap on open attempts, a ceiling (0 is
 * none).
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
