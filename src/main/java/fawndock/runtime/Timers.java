package fawndock.runtime;

import io.vertx.core.Vertx;
import java.util.Arrays;

/**
 * The timers of one event loop: a hashed timing wheel (Varghese and Lauck, 1987) with one slot for
 * each millisecond, and one Vert.x timer for the next slot in use. Scheduling and cancelling take
 * constant time: at full load, hundreds of thousands of request timers are pending until their
 * deadlines, too many for a sorted queue. After a delay of the event loop, received data is read
 * before timers fire. Confined to one event loop.
 */
public final class Timers implements AutoCloseable {
  private static final int SLOT_COUNT = 4_096;
  private static final long TICK_NANOS = 1_000_000;

  /**
   * After a wake-up that is delayed by more than this, the event loop reads received data before
   * timers fire.
   */
  private static final long LATE_WAKE_UP_THRESHOLD_TICKS = 5;

  /** A timer, which fires once unless it is cancelled before. */
  public static final class Timer {
    private final long dueTick;
    private Runnable task;
    private Timer next;

    private Timer(long dueTick, Runnable task) {
      this.dueTick = dueTick;
      this.task = task;
    }
  }

  private final Vertx vertx;
  private final long originNanos = System.nanoTime();
  private final Timer[] heads = new Timer[SLOT_COUNT];
  private final Timer[] tails = new Timer[SLOT_COUNT];

  /** All timers due at this tick or earlier have fired. */
  private long lastFiredTick;

  private int pendingCount;

  /** The Vert.x timer for the next slot in use; negative when none is set. */
  private long wakeUpTimerId = -1;

  private long wakeUpTick;
  private boolean isFiring;

  /**
   * Whether the current late wake-up has been postponed once so that the event loop reads first.
   */
  private boolean hasDeferredToReads;

  /** Creates the timers of the event loop that runs the caller. */
  public Timers(Vertx vertx) {
    this.vertx = vertx;
  }

  /**
   * Runs a task on this event loop after at least this delay. Timers due in the same millisecond
   * fire in the order in which they were scheduled.
   */
  public Timer schedule(long delayMicros, Runnable task) {
    long dueNanos = elapsedNanos() + Math.max(0, delayMicros) * 1_000;
    long dueTick = (dueNanos + TICK_NANOS - 1) / TICK_NANOS;
    Timer timer = new Timer(Math.max(dueTick, lastFiredTick + 1), task);
    append(timer);
    pendingCount++;
    if (!isFiring && (wakeUpTimerId < 0 || timer.dueTick < wakeUpTick)) {
      scheduleWakeUp(timer.dueTick);
    }
    return timer;
  }

  /**
   * Cancels a timer; does nothing for null or a timer that has fired. A cancelled timer stays in
   * its slot until it is due but no longer references its task.
   */
  public void cancel(Timer timer) {
    if (timer != null && timer.task != null) {
      timer.task = null;
      pendingCount--;
    }
  }

  /** Returns the number of timers that have neither fired nor been cancelled. */
  public int pendingCount() {
    return pendingCount;
  }

  /** Discards all timers without firing them. Idempotent. */
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
    int slot = slot(timer.dueTick);
    if (heads[slot] == null) {
      heads[slot] = timer;
    } else {
      tails[slot].next = timer;
    }
    tails[slot] = timer;
  }

  private static int slot(long tick) {
    return (int) (tick % SLOT_COUNT);
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
    if (mustDeferToReads()) {
      hasDeferredToReads = true;
      wakeUpTimerId = vertx.setTimer(1, id -> onWakeUp());
      return;
    }
    hasDeferredToReads = false;
    isFiring = true;
    try {
      long nowTick = elapsedNanos() / TICK_NANOS;
      long firstTick = lastFiredTick + 1;
      lastFiredTick = nowTick;
      // At most one revolution of the wheel: after a longer delay, each slot is due once.
      for (long tick = firstTick; tick <= nowTick && tick < firstTick + SLOT_COUNT; tick++) {
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
   * Returns whether the event loop ran the wake-up late and has not read since. Data that arrived
   * in time may still be unread; the event loop reads it before it runs a timer that is set now.
   */
  private boolean mustDeferToReads() {
    long delayTicks = elapsedNanos() / TICK_NANOS - wakeUpTick;
    return !hasDeferredToReads && delayTicks > LATE_WAKE_UP_THRESHOLD_TICKS;
  }

  private long nextTickInUse() {
    long tick = lastFiredTick + 1;
    while (!hasPendingTimer(slot(tick)) && tick < lastFiredTick + SLOT_COUNT) {
      tick++;
    }
    return tick;
  }

  /** Returns whether a slot holds a pending timer; removes cancelled timers at its head. */
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
      if (!isCancelled && timer.dueTick > nowTick) {
        append(timer); // Due in a later revolution of the wheel.
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
