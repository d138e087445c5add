package fawndock.policy.action;

import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.TimerFired;

/**
 * Asks for a {@link TimerFired} with this timer after a delay.
 *
 * @param delayMicros from now, in microseconds, at least 1
 * @param timer handed back unchanged
 */
public record ScheduleTimer(long delayMicros, PolicyTimer timer) implements PolicyAction {}
