package fawndock.runtime;

import java.time.Clock;
import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * The shared wall clock in microseconds, guarded so that it never runs backwards. When the wall
 * clock is set back, this one goes on at half the speed of the monotonic clock until the wall clock
 * has caught up: times stay in order and waits still end. One thread at a time.
 */
public final class MicroClock {
  private final LongSupplier wallMicros;
  private final LongSupplier monotonicNanos;
  private long lastMicros = Long.MIN_VALUE;
  private long lastNanos;

  /** The system's clocks. */
  public MicroClock() {
    this(MicroClock::systemMicros, System::nanoTime);
  }

  public MicroClock(LongSupplier wallMicros, LongSupplier nanos) {
    this.wallMicros = wallMicros;
    this.monotonicNanos = nanos;
  }

  /** Microseconds since 1970, never less than what was told before. */
  public long now() {
    long wall = wallMicros.getAsLong();
    long mono = monotonicNanos.getAsLong();
    if (wall >= lastMicros) {
      lastMicros = wall;
      lastNanos = mono;
    } else {
      long slewed = Math.max(0, (mono - lastNanos) / 2_000);
      lastMicros += slewed;
      lastNanos += slewed * 2_000;
    }
    return lastMicros;
  }

  /** The system's wall clock in microseconds since 1970, unguarded. */
  public static long systemMicros() {
    Instant now = Clock.systemUTC().instant();
    return now.getEpochSecond() * 1_000_000 + now.getNano() / 1_000;
  }
}
