package fawndock.counter;

import fawndock.counter.storage.MonotonicWallClock;

/** The server's time: the system's clocks, and never backwards. Used on the event loop. */
final class ServerClock {
  /** Sets a node's wall clock off, in fault-injection scenarios. */
  private static final long CLOCK_OFFSET_MILLIS =
      Long.getLong("fawndock.counter.clock-offset-ms", 0);

  private final MonotonicWallClock clock;

  /**
   * @param atLeastMillis that an earlier run has reached, in milliseconds since 1970
   */
  ServerClock(long minimumMillis) {
    clock = new MonotonicWallClock(minimumMillis, System.currentTimeMillis(), System.nanoTime());
  }

  /** Milliseconds since 1970. */
  long nowMillis() {
    return clock.nowMillis(System.currentTimeMillis() + CLOCK_OFFSET_MILLIS, System.nanoTime());
  }
}
