package fawndock.policy.action;

import fawndock.policy.event.TimerFired;

/** Asks for a {@link TimerFired} with this token. */
public record ScheduleTimer(long delayMicros, String token) implements PolicyAction {}
