package fawndock.policy.config;

import java.util.List;

/**
 * All that a gateway instance's policy is configured with.
 *
 * @param instanceIndex this instance's number in the fleet, from 0
 * @param instanceCount gateway instances in the fleet, at least 1
 * @param randomSeed seed of all random numbers: the same seed and events give the same actions
 * @param roundTripMicros time of a network round trip in the site, in microseconds
 * @param zone the zone that the instance is in
 * @param mustWatchEndpoints whether discovery reports changes only once it is asked to
 * @param requestClasses the classes of requests
 * @param plans the customers' plans
 * @param limits what the site allows
 * @param rules times and ratios of the site's rules
 * @param counter the counter service
 */
public record PolicyConfig(
    int instanceIndex,
    int instanceCount,
    long randomSeed,
    long roundTripMicros,
    String zone,
    boolean mustWatchEndpoints,
    List<RequestClass> requestClasses,
    List<Plan> plans,
    GatewayLimits limits,
    ServiceRules rules,
    CounterConfig counter) {}
