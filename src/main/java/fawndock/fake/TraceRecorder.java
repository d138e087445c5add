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
  private static final int MOST = 5_000_000;
  private final List<TraceEvent> seen = new ArrayList<>();
  private boolean full;

  /** Wall-clock microseconds since 1970. */
  public static long now() {
    Instant now = Clock.systemUTC().instant();
    return now.getEpochSecond() * 1_000_000 + now.getNano() / 1_000;
  }

  /** Adds one. */
  public synchronized void add(TraceEvent what) {
    if (seen.size() < MOST) {
      seen.add(what);
    } else {
      full = true;
    }
  }

  /**
   * A copy of all so far.
   *
   * @throws IllegalStateException when some were not kept, so that nobody judges by a part
   */
  public synchronized List<TraceEvent> all() {
    if (full) {
      throw new IllegalStateException("more than " + MOST + " records");
    }
    return new ArrayList<>(seen);
  }
}
