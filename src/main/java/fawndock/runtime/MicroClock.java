package fawndock.runtime;

import java.time.Clock;
import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * A wall clock in microseconds that never runs backwards. After the system's wall clock is set
 * back, this clock runs at half the speed of the monotonic clock until the wall clock has caught
 * up, so that timestamps stay in order and waits still end. Not thread-safe.
 */
public final class MicroClock {
  private final LongSupplier wallMicros;
  private final LongSupplier monotonicNanos;
  private long lastMicros = Long.MIN_VALUE;
  private long lastNanos;

  /** Creates a clock that reads the system's clocks. */
  public MicroClock() {
    this(MicroClock::systemMicros, System::nanoTime);
  }

  /**
   * Creates a clock from a wall clock in microseconds since 1970 and a monotonic clock in
   * nanoseconds.
   */
  public MicroClock(LongSupplier wallMicros, LongSupplier monotonicNanos) {
    this.wallMicros = wallMicros;
    this.monotonicNanos = monotonicNanos;
  }

  /** Returns the time in microseconds since 1970, never less than the value returned before. */
  public long nowMicros() {
    long wall = wallMicros.getAsLong();
    long monotonic = monotonicNanos.getAsLong();
    if (wall >= lastMicros) {
      lastMicros = wall;
      lastNanos = monotonic;
    } else {
      long slewedMicros = Math.max(0, (monotonic - lastNanos) / 2_000);
      lastMicros += slewedMicros;
      lastNanos += slewedMicros * 2_000;
    }
    return lastMicros;
  }

  /** Returns the system's wall clock in microseconds since 1970; may run backwards. */
  public static long systemMicros() {
    Instant now = Clock.systemUTC().instant();
    return now.getEpochSecond() * 1_000_000 + now.getNano() / 1_000;
  }
}
