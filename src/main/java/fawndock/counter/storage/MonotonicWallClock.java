package fawndock.counter.storage;

/**
 * Wall-clock time in milliseconds that never decreases. Expiry is stored as absolute time, so that
 * it remains valid after a restart; if the wall clock were set back, expired names would become
 * valid again. While the wall clock is behind, time advances with the monotonic clock. When the
 * wall clock is set forward, the new time is used and names may expire early. Not thread-safe.
 */
public final class MonotonicWallClock {
  private long nowMillis;
  private long lastNanos;

  /**
   * Starts the clock.
   *
   * @param minMillis lower bound in milliseconds since 1970, such as the latest time of an earlier
   *     run
   * @param wallMillis time of the wall clock, in milliseconds since 1970
   * @param monotonicNanos time of the monotonic clock, in nanoseconds
   */
  public MonotonicWallClock(long minMillis, long wallMillis, long monotonicNanos) {
    nowMillis = Math.max(minMillis, wallMillis);
    lastNanos = monotonicNanos;
  }

  /** Returns the time in milliseconds since 1970 for the current readings of both clocks. */
  public long nowMillis(long wallMillis, long monotonicNanos) {
    long elapsedMillis = Math.max(0, monotonicNanos - lastNanos) / 1_000_000;
    nowMillis = Math.max(nowMillis + elapsedMillis, wallMillis);
    lastNanos += elapsedMillis * 1_000_000;
    return nowMillis;
  }
}
