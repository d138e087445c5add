package fawndock.runtime;

import io.vertx.core.Vertx;

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

    /** The slot that holds the timer; null once it has fired or been cancelled. */
    private Slot slot;

    private Timer previous;
    private Timer next;

    private Timer(long dueTick, Runnable task) {
      this.dueTick = dueTick;
      this.task = task;
    }
  }

  /** A doubly linked list of timers, in the order in which they were added. */
  private static final class Slot {
    private Timer head;
    private Timer tail;
    private int size;

    void add(Timer timer) {
      timer.slot = this;
      timer.previous = tail;
      if (tail == null) {
        head = timer;
      } else {
        tail.next = timer;
      }
      tail = timer;
      size++;
    }

    void remove(Timer timer) {
      if (timer.previous == null) {
        head = timer.next;
      } else {
        timer.previous.next = timer.next;
      }
      if (timer.next == null) {
        tail = timer.previous;
      } else {
        timer.next.previous = timer.previous;
      }
      timer.slot = null;
      timer.previous = null;
      timer.next = null;
      size--;
    }
  }

  private final Vertx vertx;
  private final long originNanos = System.nanoTime();
  private final Slot[] slots = new Slot[SLOT_COUNT];

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
    for (int i = 0; i < SLOT_COUNT; i++) {
      slots[i] = new Slot();
    }
  }

  /**
   * Runs a task on this event loop after at least this delay. Timers due in the same millisecond
   * fire in the order in which they were scheduled.
   */
  public Timer schedule(long delayMicros, Runnable task) {
    long dueNanos = elapsedNanos() + Math.max(0, delayMicros) * 1_000;
    long dueTick = (dueNanos + TICK_NANOS - 1) / TICK_NANOS;
    Timer timer = new Timer(Math.max(dueTick, lastFiredTick + 1), task);
    slots[slotIndex(timer.dueTick)].add(timer);
    pendingCount++;
    if (!isFiring && (wakeUpTimerId < 0 || timer.dueTick < wakeUpTick)) {
      scheduleWakeUp(timer.dueTick);
    }
    return timer;
  }

  /** Cancels a timer and forgets it; does nothing for null or a timer that has fired. */
  public void cancel(Timer timer) {
    if (timer != null && timer.slot != null) {
      timer.slot.remove(timer);
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
    for (Slot slot : slots) {
      while (slot.head != null) {
        slot.remove(slot.head);
      }
    }
    pendingCount = 0;
    cancelWakeUp();
  }

  private long elapsedNanos() {
    return System.nanoTime() - originNanos;
  }

  private static int slotIndex(long tick) {
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
        fireSlot(slots[slotIndex(tick)], nowTick);
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
    while (slots[slotIndex(tick)].size == 0 && tick < lastFiredTick + SLOT_COUNT) {
      tick++;
    }
    return tick;
  }

  /** Fires the due timers of a slot. A timer that fires may cancel others and add new ones. */
  private void fireSlot(Slot slot, long nowTick) {
    int timersToExamine = slot.size;
    for (int i = 0; i < timersToExamine && slot.head != null; i++) {
      Timer timer = slot.head;
      slot.remove(timer);
      if (timer.dueTick > nowTick) {
        slot.add(timer); // Due in a later revolution of the wheel.
      } else {
        fire(timer);
      }
    }
  }

  private void fire(Timer timer) {
    Runnable task = timer.task;
    timer.task = null;
    pendingCount--;
    task.run();
  }
}
