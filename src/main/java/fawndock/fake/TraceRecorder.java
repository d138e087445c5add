package fawndock.fake;

import fawndock.conformance.TraceEvent;
import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Records the events of all fakes in the order in which they are reported. The number of events is
 * bounded, and an incomplete trace is never returned. Thread-safe.
 */
public final class TraceRecorder {
  private static final int MAX_EVENTS = 5_000_000;
  private final List<TraceEvent> events = new ArrayList<>();
  private boolean isFull;

  /** Returns the wall-clock time in microseconds since 1970. */
  public static long nowMicros() {
    Instant now = Clock.systemUTC().instant();
    return now.getEpochSecond() * 1_000_000 + now.getNano() / 1_000;
  }

  /** Records an event, or drops it when the recorder is full. */
  public synchronized void record(TraceEvent event) {
    if (events.size() < MAX_EVENTS) {
      events.add(event);
    } else {
      isFull = true;
    }
  }

  /**
   * Returns a copy of all events recorded so far.
   *
   * @throws IllegalStateException if events were dropped, so that an incomplete trace cannot be
   *     checked by mistake
   */
  public synchronized List<TraceEvent> events() {
    if (isFull) {
      throw new IllegalStateException(
          "more than " + MAX_EVENTS + " trace events, the trace is incomplete");
    }
    return new ArrayList<>(events);
  }
}
