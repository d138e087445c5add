package fawndock.gateway;

import fawndock.policy.config.CounterConfig;
import fawndock.policy.config.PolicyConfig;
import fawndock.settings.GatewaySettings;

/** Creates the configurations of the policies of one process from its settings. */
final class PolicyConfigFactory {
  /** Network round-trip time that the policy assumes for its deadline margins. */
  private static final long ROUND_TRIP_MICROS = 5_000;

  /** The quotas of customers may hold the heap, over all policies, divided by this. */
  private static final long QUOTA_MEMORY_DIVISOR = 16;

  private PolicyConfigFactory() {}

  /** Returns the configuration of the policy of one gateway instance. */
  static PolicyConfig forInstance(GatewaySettings settings, int instanceIndex) {
    return create(
        settings,
        instanceIndex,
        settings.zone(),
        settings.discovery().watchesOnDemand(),
        settings.counter().settlesUnits());
  }

  /** Returns the configuration of the policy of the rate limit service. */
  static PolicyConfig forQuotaService(GatewaySettings settings, int instanceIndex) {
    return create(settings, instanceIndex, "", false, true);
  }

  private static PolicyConfig create(
      GatewaySettings settings,
      int instanceIndex,
      String zone,
      boolean mustWatchEndpoints,
      boolean settlesUnits) {
    return new PolicyConfig(
        instanceIndex,
        settings.fleetSize(),
        settings.seed() + instanceIndex,
        ROUND_TRIP_MICROS,
        zone,
        mustWatchEndpoints,
        settings.classes(),
        settings.plans(),
        settings.limits().withMaxQuotaBytes(maxQuotaBytes(settings)),
        settings.rules(),
        new CounterConfig(
            !settings.counter().isAbsent(), settings.counter().timeoutMicros(), settlesUnits));
  }

  private static long maxQuotaBytes(GatewaySettings settings) {
    long policyCount = settings.instances() + 1L; // The rate limit service has one of its own.
    return Runtime.getRuntime().maxMemory() / QUOTA_MEMORY_DIVISOR / policyCount;
  }
}
