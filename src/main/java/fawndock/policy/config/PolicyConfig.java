package fawndock.policy.config;

import java.util.List;

/**
 * The complete configuration of the policy of one gateway instance.
 *
 * @param instanceIndex index of this instance in the fleet, from 0
 * @param instanceCount number of gateway instances in the fleet, at least 1
 * @param randomSeed seed of all random numbers; the same seed and events give the same actions
 * @param roundTripMicros duration of a network round trip within the site, in microseconds
 * @param zone zone of this instance
 * @param mustWatchEndpoints whether discovery reports changes only after the policy has asked for
 *     them
 * @param requestClasses the classes of requests
 * @param plans the plans of the customers
 * @param limits what the site allows a gateway instance to do
 * @param rules durations and ratios of the site's rules
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
    CounterConfig counter) {
  /** Returns the same configuration with other limits. */
  public PolicyConfig withLimits(GatewayLimits newLimits) {
    return new PolicyConfig(
        instanceIndex,
        instanceCount,
        randomSeed,
        roundTripMicros,
        zone,
        mustWatchEndpoints,
        requestClasses,
        plans,
        newLimits,
        rules,
        counter);
  }
}
