package fawndock.policy;

import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.event.PolicyTimer;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds the time of the event being handled and the actions decided for it so far, in order. Not
 * thread-safe.
 */
public final class EventContext {
  private long nowMicros;
  private List<PolicyAction> actions = new ArrayList<>();

  /** Starts handling an event. No action is decided yet. */
  void begin(long eventAtMicros) {
    nowMicros = eventAtMicros;
    actions = new ArrayList<>();
  }

  /** Returns the actions decided since {@link #begin}. The caller owns the list from then on. */
  List<PolicyAction> actions() {
    return actions;
  }

  /** Returns when the event happened, in microseconds of the clock that all instances share. */
  public long nowMicros() {
    return nowMicros;
  }

  /** Adds an action, which is carried out after those emitted before it. */
  public void emit(PolicyAction action) {
    actions.add(action);
  }

  /** Schedules a timer for a time in microseconds, at the earliest one microsecond from now. */
  public void scheduleAt(long atMicros, PolicyTimer timer) {
    actions.add(new ScheduleTimer(Math.max(1, atMicros - nowMicros), timer));
  }
}
