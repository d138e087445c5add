package fawndock.policy.routing;

import fawndock.policy.config.ServiceRules;

/**
 * Computes the capacity of an endpoint during slow start, which rises linearly with its age.
 * Instances are immutable.
 */
final class SlowStart {
  private final double initialRatio;
  private final long durationMicros;

  SlowStart(ServiceRules rules) {
    this.initialRatio = rules.slowStartInitialRatio();
    this.durationMicros = rules.slowStartMicros();
  }

  /**
   * Returns the current capacity of an endpoint as a ratio of its full capacity, which is 1 once it
   * is warm.
   */
  double capacityRatio(TrackedEndpoint endpoint, long nowMicros) {
    long startedAtMicros = endpoint.info().startedAtMicros();
    long ageMicros = nowMicros - startedAtMicros;
    if (startedAtMicros <= 0 || ageMicros >= durationMicros) {
      return 1;
    }
    return initialRatio + (1 - initialRatio) * Math.max(0, ageMicros) / durationMicros;
  }

  boolean isWarm(TrackedEndpoint endpoint, long nowMicros) {
    return capacityRatio(endpoint, nowMicros) >= 1;
  }
}
