package fawndock.policy;

import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.event.PolicyTimer;
import java.util.ArrayList;
import java.util.List;

/** The event being handled: when it happened, and the actions decided on it so far, in order. */
public final class EventContext {
  private long nowMicros;
  private List<PolicyAction> actions = new ArrayList<>();

  /** Starts an event: no action is decided yet. */
  void begin(long eventAtMicros) {
    nowMicros = eventAtMicros;
    actions = new ArrayList<>();
  }

  /** The actions decided since {@link #begin}; the list is the caller's from then on. */
  List<PolicyAction> actions() {
    return actions;
  }

  /** When the event happened, in microseconds of the clock that all instances share. */
  public long nowMicros() {
    return nowMicros;
  }

  /** Adds an action to be carried out after those emitted before. */
  public void emit(PolicyAction action) {
    actions.add(action);
  }

  /** Schedules a timer for a time given in microseconds, one microsecond from now at the least. */
  public void scheduleAt(long atMicros, PolicyTimer timer) {
    actions.add(new ScheduleTimer(Math.max(1, atMicros - nowMicros), timer));
  }
}
