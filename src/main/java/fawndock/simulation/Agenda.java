package fawndock.simulation;

import java.util.PriorityQueue;

/**
 * What happens when, in simulated microseconds; what happens at the same time happens in the order
 * in which it was put here.
 */
public final class Agenda {
  private record Item(long at, long number, Runnable what) {}

  private final PriorityQueue<Item> items =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
  private long now;
  private long number;

  /** Simulated microseconds since the start. */
  public long now() {
    return now;
  }

  /** Puts something at a time; at the present when that has gone by. */
  public void at(long micros, Runnable what) {
    items.add(new Item(Math.max(now, micros), number++, what));
  }

  /** Puts something after a time from now. */
  public void after(long micros, Runnable what) {
    at(now + micros, what);
  }

  /** Lets everything happen until a time, and what that brings about until then. */
  public void run(long until) {
    while (!items.isEmpty() && items.peek().at <= until) {
      Item next = items.poll();
      now = next.at;
      next.what.run();
    }
    now = Math.max(now, until);
  }

  /** How much has happened or is to happen. */
  public long put() {
    return number;
  }
}
