package fawndock.simulation;

import java.util.PriorityQueue;

/**
 * What happens when, in simulated microseconds; what happens at the same time happens in the order
 * in which it was put here.
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

  /** Puts something at a time; at the present when that has gone by. */
  public void scheduleAt(long micros, Runnable what) {
    scheduled.add(new ScheduledEvent(Math.max(nowMicros, micros), nextSequence++, what));
  }

  /** Puts something after a time from now. */
  public void scheduleAfter(long micros, Runnable what) {
    scheduleAt(nowMicros + micros, what);
  }

  /** Lets everything happen until a time, and what that brings about until then. */
  public void runUntil(long until) {
    while (!scheduled.isEmpty() && scheduled.peek().atMicros <= until) {
      ScheduledEvent next = scheduled.poll();
      nowMicros = next.atMicros;
      next.action.run();
    }
    nowMicros = Math.max(nowMicros, until);
  }

  /** How much has happened or is to happen. */
  public long scheduledCount() {
    return nextSequence;
  }
}
