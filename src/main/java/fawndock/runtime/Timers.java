package fawndock.runtime;

import io.vertx.core.Vertx;

/**
 * The timers of one context: a hashed timing wheel (Varghese and Lauck, 1987) of one slot a
 * millisecond, and one timer of Vert.x for the next slot in use. Setting and cancelling cost the
 * same however many are pending. Guards against the several timers that each request leaves until
 * its deadline, hundreds of thousands at full load, in a queue whose cost grows with their number.
 * Bounded by the requests taken on within the longest deadline.
 */
public final class Timers {
  private static final int SLOTS = 4_096;

  /** One alarm; it rings once, unless cancelled before. */
  public static final class Timer {
    private final long tick;
    private Runnable task;
    private Timer next;

    private Timer(long tick, Runnable what) {
      this.tick = tick;
      this.task = what;
    }
  }

  private final Vertx vertx;
  private final long originNanos = System.nanoTime();
  private final Timer[] heads = new Timer[SLOTS];
  private final Timer[] tails = new Timer[SLOTS];

  /** All ticks up to this one have rung. */
  private long lastFiredTick;

  private int pendingCount;
  private long wakeUpTimerId = -1;
  private long wakeUpTick;
  private boolean isFiring;

  /** Alarms of the context that this is made on. */
  public Timers(Vertx vertx) {
    this.vertx = vertx;
  }

  /**
   * Runs something after at least so many microseconds, on the context that asks; those of one tick
   * in order.
   */
  public Timer schedule(long micros, Runnable what) {
    long due =
        (System.nanoTime() - originNanos + Math.max(0, micros) * 1_000 + 999_999) / 1_000_000;
    Timer alarm = new Timer(Math.max(due, lastFiredTick + 1), what);
    append(alarm);
    pendingCount++;
    if (!isFiring && (wakeUpTimerId < 0 || alarm.tick < wakeUpTick)) {
      scheduleWakeUp(alarm.tick);
    }
    return alarm;
  }

  /** An alarm that is cancelled takes its place until its time, but holds nothing else. */
  public void cancel(Timer alarm) {
    if (alarm != null && alarm.task != null) {
      alarm.task = null;
      pendingCount--;
    }
  }

  /** Alarms that have neither rung nor been cancelled. */
  public int pendingCount() {
    return pendingCount;
  }

  /** Forgets all of them. */
  public void close() {
    java.util.Arrays.fill(heads, null);
    java.util.Arrays.fill(tails, null);
    pendingCount = 0;
    if (wakeUpTimerId >= 0) {
      vertx.cancelTimer(wakeUpTimerId);
      wakeUpTimerId = -1;
    }
  }

  private void append(Timer alarm) {
    int slot = (int) (alarm.tick % SLOTS);
    if (heads[slot] == null) {
      heads[slot] = alarm;
    } else {
      tails[slot].next = alarm;
    }
    tails[slot] = alarm;
  }

  private void scheduleWakeUp(long tick) {
    if (wakeUpTimerId >= 0) {
      vertx.cancelTimer(wakeUpTimerId);
    }
    wakeUpTick = tick;
    long nanos = tick * 1_000_000 - (System.nanoTime() - originNanos);
    wakeUpTimerId = vertx.setTimer(Math.max(1, (nanos + 999_999) / 1_000_000), id -> fire());
  }

  private void fire() {
    wakeUpTimerId = -1;
    isFiring = true;
    try {
      // No more than one round: a loop that was held for longer looks at each slot once.
      long now = (System.nanoTime() - originNanos) / 1_000_000;
      long from = lastFiredTick + 1;
      lastFiredTick = now;
      for (long tick = from; tick <= now && tick < from + SLOTS; tick++) {
        fire((int) (tick % SLOTS), now);
      }
    } finally {
      isFiring = false;
      if (pendingCount > 0) {
        long tick = lastFiredTick + 1;
        while (!hasPendingTimer((int) (tick % SLOTS)) && tick < lastFiredTick + SLOTS) {
          tick++;
        }
        scheduleWakeUp(tick);
      }
    }
  }

  /** Whether a slot holds an alarm that is to ring; drops those cancelled that stand before it. */
  private boolean hasPendingTimer(int slot) {
    while (heads[slot] != null && heads[slot].task == null) {
      heads[slot] = heads[slot].next;
    }
    return heads[slot] != null;
  }

  private void fire(int slot, long now) {
    Timer alarm = heads[slot];
    heads[slot] = null;
    tails[slot] = null;
    while (alarm != null) {
      Timer next = alarm.next;
      alarm.next = null;
      if (alarm.task == null) {
        // Cancelled.
      } else if (alarm.tick > now) {
        append(alarm); // Of a later round.
      } else {
        Runnable what = alarm.task;
        alarm.task = null;
        pendingCount--;
        what.run();
      }
      alarm = next;
    }
  }
}
