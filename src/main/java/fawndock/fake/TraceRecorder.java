package fawndock.fake;

import fawndock.conformance.TraceEvent;
import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Records the events of all fakes in the order in which they report them. Any thread. Bounded; it
 * refuses to return an incomplete trace.
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

  /** Records an event. */
  public synchronized void record(TraceEvent event) {
    if (events.size() < MAX_EVENTS) {
      events.add(event);
    } else {
      isFull = true;
    }
  }

  /**
   * A copy of all so far.
   *
   * @throws IllegalStateException when events were dropped, so that nobody checks an incomplete
   *     trace
   */
  public synchronized List<TraceEvent> events() {
    if (isFull) {
      throw new IllegalStateException("more than " + MAX_EVENTS + " records");
    }
    return new ArrayList<>(events);
  }
}
