package fawndock.counter;

import fawndock.counter.storage.MonotonicWallClock;

/**
 * A wall clock that never runs backwards, based on the clocks of the system. Confined to the event
 * loop.
 */
final class ServerClock {
  /** Shifts the node's wall clock in fault-injection scenarios. */
  private static final long CLOCK_OFFSET_MILLIS =
      Long.getLong("fawndock.counter.clock-offset-ms", 0);

  private final MonotonicWallClock clock;

  /**
   * @param minimumMillis the time that an earlier run has reached, in milliseconds since 1970
   */
  ServerClock(long minimumMillis) {
    clock = new MonotonicWallClock(minimumMillis, System.currentTimeMillis(), System.nanoTime());
  }

  /** Returns the current time in milliseconds since 1970. */
  long nowMillis() {
    return clock.nowMillis(System.currentTimeMillis() + CLOCK_OFFSET_MILLIS, System.nanoTime());
  }
}
