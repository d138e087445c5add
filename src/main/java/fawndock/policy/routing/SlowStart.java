package fawndock.policy.routing;

import fawndock.policy.config.ServiceRules;

/** How much of its work an endpoint can do while it warms up, rising evenly with its age. */
final class SlowStart {
  private final double initialRatio;
  private final long durationMicros;

  SlowStart(ServiceRules rules) {
    this.initialRatio = rules.slowStartInitialRatio();
    this.durationMicros = rules.slowStartMicros();
  }

  /** The part of its work that an endpoint can do by now, 1 once it is warm. */
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
