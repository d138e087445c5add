package fawndock.simulation;

/**
 * A gateway's clock, which has an offset from simulated time. Like the gateway's real clock it
 * never runs backwards: when its offset decreases, it runs at half speed until simulated time plus
 * the offset has caught up. Single-threaded.
 */
final class SkewedClock {
  private final EventQueue events;
  private long offsetMicros;
  private long lastClockMicros;
  private long lastReadAtMicros;

  SkewedClock(EventQueue events) {
    this.events = events;
  }

  /** Sets the offset from simulated time from now on; a positive offset is ahead of it. */
  void setOffset(long newOffsetMicros) {
    nowMicros();
    offsetMicros = newOffsetMicros;
  }

  /** Returns the clock's time in microseconds. */
  long nowMicros() {
    long simulatedMicros = events.nowMicros();
    long slowedMicros = lastClockMicros + (simulatedMicros - lastReadAtMicros) / 2;
    lastClockMicros = Math.max(simulatedMicros + offsetMicros, slowedMicros);
    lastReadAtMicros = simulatedMicros;
    return lastClockMicros;
  }
}
