package fawndock.counter.storage;

/**
 * Wall-clock milliseconds that never run backwards. Expiry is kept by absolute time, so that it
 * means the same after a restart; a wall clock that is set back would let names that have expired
 * live again. While the wall clock is behind, time goes on at the pace of the monotonic clock. A
 * wall clock set forward is believed: names may expire early then.
 */
public final class MonotonicWallClock {
  private long nowMillis;
  private long nanos;

  /**
   * Starts.
   *
   * @param atLeast milliseconds since 1970 that have been reached before, such as by an earlier run
   * @param wall the wall clock, in milliseconds since 1970
   * @param monotonic the monotonic clock, in nanoseconds
   */
  public MonotonicWallClock(long atLeast, long wall, long monotonic) {
    nowMillis = Math.max(atLeast, wall);
    nanos = monotonic;
  }

  /** Milliseconds since 1970, given what the two clocks show. */
  public long nowMillis(long wall, long monotonic) {
    long passed = Math.max(0, monotonic - nanos) / 1_000_000;
    nowMillis = Math.max(nowMillis + passed, wall);
    nanos += passed * 1_000_000;
    return nowMillis;
  }
}
