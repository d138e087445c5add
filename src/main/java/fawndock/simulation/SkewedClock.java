package fawndock.simulation;

/**
 * A gateway's clock over simulated time. As the gateway's own clock it never runs backwards: when
 * its offset shrinks, it runs at half speed until it has caught up. Single-threaded.
 */
final class SkewedClock {
  private final EventQueue events;
  private long offsetMicros;
  private long lastClockMicros;
  private long lastReadAtMicros;

  SkewedClock(EventQueue events) {
    this.events = events;
  }

  /** Sets by how much it is ahead of simulated time from now on; behind when below 0. */
  void setOffset(long micros) {
    nowMicros();
    offsetMicros = micros;
  }

  /** What the clock shows. */
  long nowMicros() {
    long simulatedMicros = events.nowMicros();
    long slowedMicros = lastClockMicros + (simulatedMicros - lastReadAtMicros) / 2;
    lastClockMicros = Math.max(simulatedMicros + offsetMicros, slowedMicros);
    lastReadAtMicros = simulatedMicros;
    return lastClockMicros;
  }
}
