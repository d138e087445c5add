package fawndock.policy.config;

import java.util.List;

/** All that a gatekeeper is told when it starts. */
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
