package fawndock.simulation;

import java.util.PriorityQueue;

/**
 * The simulated clock, in microseconds, and the queue of scheduled events. Events at the same time
 * run in the order in which they were scheduled. Single-threaded.
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

  /** Returns the simulated microseconds since the start. */
  public long nowMicros() {
    return nowMicros;
  }

  /** Schedules an action at a time, or at the present time when that time has passed. */
  public void scheduleAt(long atMicros, Runnable action) {
    scheduled.add(new ScheduledEvent(Math.max(nowMicros, atMicros), nextSequence++, action));
  }

  /** Schedules an action after a delay from now. */
  public void scheduleAfter(long delayMicros, Runnable action) {
    scheduleAt(nowMicros + delayMicros, action);
  }

  /** Runs all events up to a time, including those that are scheduled meanwhile. */
  public void runUntil(long untilMicros) {
    while (!scheduled.isEmpty() && scheduled.peek().atMicros <= untilMicros) {
      ScheduledEvent next = scheduled.poll();
      nowMicros = next.atMicros;
      next.action.run();
    }
    nowMicros = Math.max(nowMicros, untilMicros);
  }

  /** Returns the number of events that were scheduled so far. */
  public long scheduledCount() {
    return nextSequence;
  }
}
