package fawndock.runtime;

import io.vertx.core.Vertx;
import java.util.Arrays;

/**
 * The timers of one event loop: a hashed timing wheel (Varghese and Lauck, 1987) with one slot for
 * each millisecond, and one Vert.x timer for the next slot in use. Scheduling and cancelling cost
 * the same however many timers are pending: at full load the timers that requests leave until their
 * deadlines are hundreds of thousands, too many for a sorted queue. After the event loop was held
 * up, what came meanwhile is read before timers fire. Confined to one event loop.
 */
public final class Timers implements AutoCloseable {
  private static final int SLOTS = 4_096;
  private static final long TICK_NANOS = 1_000_000;

  /** A wake-up that is later than this was held up: reads come first. */
  private static final long MAX_PUNCTUAL_DELAY_TICKS = 5;

  /** One timer; it fires once, unless cancelled before. */
  public static final class Timer {
    private final long tick;
    private Runnable task;
    private Timer next;

    private Timer(long tick, Runnable task) {
      this.tick = tick;
      this.task = task;
    }
  }

  private final Vertx vertx;
  private final long originNanos = System.nanoTime();
  private final Timer[] heads = new Timer[SLOTS];
  private final Timer[] tails = new Timer[SLOTS];

  /** All timers of ticks up to this one have fired. */
  private long lastFiredTick;

  private int pendingCount;

  /** The Vert.x timer for the next slot in use; negative when none is set. */
  private long wakeUpTimerId = -1;

  private long wakeUpTick;
  private boolean isFiring;

  /** Whether the late wake-up under way has let the event loop read. */
  private boolean hasLetReadsGoFirst;

  /** Creates the timers of the event loop that this is called on. */
  public Timers(Vertx vertx) {
    this.vertx = vertx;
  }

  /**
   * Runs a task on this event loop after at least this delay. Timers of one millisecond fire in the
   * order in which they were scheduled.
   */
  public Timer schedule(long delayMicros, Runnable task) {
    long dueNanos = elapsedNanos() + Math.max(0, delayMicros) * 1_000;
    long dueTick = (dueNanos + TICK_NANOS - 1) / TICK_NANOS;
    Timer timer = new Timer(Math.max(dueTick, lastFiredTick + 1), task);
    append(timer);
    pendingCount++;
    if (!isFiring && (wakeUpTimerId < 0 || timer.tick < wakeUpTick)) {
      scheduleWakeUp(timer.tick);
    }
    return timer;
  }

  /**
   * Cancels a timer; does nothing for null or a timer that has fired. A cancelled timer stays in
   * its slot until its time but no longer references its task.
   */
  public void cancel(Timer timer) {
    if (timer != null && timer.task != null) {
      timer.task = null;
      pendingCount--;
    }
  }

  /** Returns how many timers have neither fired nor been cancelled. */
  public int pendingCount() {
    return pendingCount;
  }

  /** Drops all timers without firing them. Idempotent. */
  @Override
  public void close() {
    Arrays.fill(heads, null);
    Arrays.fill(tails, null);
    pendingCount = 0;
    cancelWakeUp();
  }

  private long elapsedNanos() {
    return System.nanoTime() - originNanos;
  }

  private void append(Timer timer) {
    int slot = slot(timer.tick);
    if (heads[slot] == null) {
      heads[slot] = timer;
    } else {
      tails[slot].next = timer;
    }
    tails[slot] = timer;
  }

  private static int slot(long tick) {
    return (int) (tick % SLOTS);
  }

  private void scheduleWakeUp(long tick) {
    cancelWakeUp();
    wakeUpTick = tick;
    long delayNanos = tick * TICK_NANOS - elapsedNanos();
    long delayMillis = Math.max(1, (delayNanos + TICK_NANOS - 1) / TICK_NANOS);
    wakeUpTimerId = vertx.setTimer(delayMillis, id -> onWakeUp());
  }

  private void cancelWakeUp() {
    if (wakeUpTimerId >= 0) {
      vertx.cancelTimer(wakeUpTimerId);
      wakeUpTimerId = -1;
    }
  }

  private void onWakeUp() {
    wakeUpTimerId = -1;
    if (mustLetReadsGoFirst()) {
      hasLetReadsGoFirst = true;
      wakeUpTimerId = vertx.setTimer(1, id -> onWakeUp());
      return;
    }
    hasLetReadsGoFirst = false;
    isFiring = true;
    try {
      long nowTick = elapsedNanos() / TICK_NANOS;
      long firstTick = lastFiredTick + 1;
      lastFiredTick = nowTick;
      // At most one round of the wheel: after a longer pause of the loop each slot is due once.
      for (long tick = firstTick; tick <= nowTick && tick < firstTick + SLOTS; tick++) {
        fireSlot(slot(tick), nowTick);
      }
    } finally {
      isFiring = false;
      if (pendingCount > 0) {
        scheduleWakeUp(nextTickInUse());
      }
    }
  }

  /**
   * Returns whether the event loop was held up past the wake-up. What came meanwhile, and was in
   * time, may still be unread; the loop reads it before it runs a timer that is set now.
   */
  private boolean mustLetReadsGoFirst() {
    long delayTicks = elapsedNanos() / TICK_NANOS - wakeUpTick;
    return !hasLetReadsGoFirst && delayTicks > MAX_PUNCTUAL_DELAY_TICKS;
  }

  private long nextTickInUse() {
    long tick = lastFiredTick + 1;
    while (!hasPendingTimer(slot(tick)) && tick < lastFiredTick + SLOTS) {
      tick++;
    }
    return tick;
  }

  /** Returns whether a slot holds a pending timer; drops cancelled timers at its head. */
  private boolean hasPendingTimer(int slot) {
    while (heads[slot] != null && heads[slot].task == null) {
      heads[slot] = heads[slot].next;
    }
    return heads[slot] != null;
  }

  private void fireSlot(int slot, long nowTick) {
    Timer timer = heads[slot];
    heads[slot] = null;
    tails[slot] = null;
    while (timer != null) {
      Timer next = timer.next;
      timer.next = null;
      boolean isCancelled = timer.task == null;
      if (!isCancelled && timer.tick > nowTick) {
        append(timer); // Due in a later round of the wheel.
      } else if (!isCancelled) {
        Runnable task = timer.task;
        timer.task = null;
        pendingCount--;
        task.run();
      }
      timer = next;
    }
  }
}
