package fawndock.fake;

import fawndock.conformance.TraceEvent;
import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * What the stand-ins saw, in the order in which they said so. Any thread. Bounded: a full one says
 * so.
 */
public final class TraceRecorder {
  private static final int MAX_EVENTS = 5_000_000;
  private final List<TraceEvent> events = new ArrayList<>();
  private boolean isFull;

  /** Wall-clock microseconds since 1970. */
  public static long nowMicros() {
    Instant now = Clock.systemUTC().instant();
    return now.getEpochSecond() * 1_000_000 + now.getNano() / 1_000;
  }

  /** Adds one. */
  public synchronized void record(TraceEvent what) {
    if (events.size() < MAX_EVENTS) {
      events.add(what);
    } else {
      isFull = true;
    }
  }

  /**
   * A copy of all so far.
   *
   * @throws IllegalStateException when some were not kept, so that nobody judges by a part
   */
  public synchronized List<TraceEvent> events() {
    if (isFull) {
      throw new IllegalStateException("more than " + MAX_EVENTS + " records");
    }
    return new ArrayList<>(events);
  }
}
