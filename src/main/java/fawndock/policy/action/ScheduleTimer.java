package fawndock.policy.action;

import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.TimerFired;

/**
 * Schedules a timer; a {@link TimerFired} with it follows after the delay.
 *
 * @param delayMicros delay from now, in microseconds, at least 1
 * @param timer the timer, which is returned unchanged
 */
public record ScheduleTimer(long delayMicros, PolicyTimer timer) implements PolicyAction {}
