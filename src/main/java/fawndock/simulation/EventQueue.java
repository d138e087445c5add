package fawndock.simulation;

import java.util.PriorityQueue;

/**
 * The simulated clock and its events, in microseconds. Events at the same time run in the order in
 * which they were scheduled. Single-threaded.
 */
public final class EventQueue {
  private record ScheduledEvent(long atMicros, long sequence, Runnable action) {}

  private final PriorityQueue<ScheduledEvent> scheduled =
      new PriorityQueue<>(
          (a, b) ->
              a.atMicros != b.atMicros
                  ? Long.compare(a.atMicros, b.atMicros)
                  : Long.compare(a.sequence, b.sequence));
  private long nowMicros;
  private long nextSequence;

  /** Simulated microseconds since the start. */
  public long nowMicros() {
    return nowMicros;
  }

  /** Schedules an action at a time; at the present when that is past. */
  public void scheduleAt(long micros, Runnable action) {
    scheduled.add(new ScheduledEvent(Math.max(nowMicros, micros), nextSequence++, action));
  }

  /** Schedules an action after a delay from now. */
  public void scheduleAfter(long micros, Runnable action) {
    scheduleAt(nowMicros + micros, action);
  }

  /** Runs all events up to a time, with those that they schedule up to then. */
  public void runUntil(long until) {
    while (!scheduled.isEmpty() && scheduled.peek().atMicros <= until) {
      ScheduledEvent next = scheduled.poll();
      nowMicros = next.atMicros;
      next.action.run();
    }
    nowMicros = Math.max(nowMicros, until);
  }

  /** How many events were scheduled so far. */
  public long scheduledCount() {
    return nextSequence;
  }
}
