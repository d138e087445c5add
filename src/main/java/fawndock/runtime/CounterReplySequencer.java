package fawndock.runtime;

import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Tells the ends of counter calls, each once, those of a name in the order in which its calls were
 * made.
 */
public final class CounterReplySequencer {
  /** A call of a name that has its place among the others. */
  public static class PendingCall {
    private final String name;
    private final long startedAt;
    private CounterReply end;

    /** A call of this name, made at this time in microseconds. */
    public PendingCall(String name, long startedAt) {
      this.name = name;
      this.startedAt = startedAt;
    }

    /** How long it has been out. */
    public long tookMicros(long now) {
      return now - startedAt;
    }

    public boolean ended() {
      return end != null;
    }
  }

  private final Map<String, ArrayDeque<PendingCall>> lines = new HashMap<>();
  private final Consumer<CounterReply> told;
  private boolean closed;

  /** Ends are told to the consumer given. */
  public CounterReplySequencer(Consumer<CounterReply> told) {
    this.told = told;
  }

  /** A call is made. */
  public void begin(PendingCall place) {
    lines.computeIfAbsent(place.name, name -> new ArrayDeque<>(2)).add(place);
  }

  /**
   * A call that ends before an older one of its name, such as one that was never sent, waits for
   * it.
   */
  public void end(PendingCall place, CallResult result, double total, long now) {
    place.end = new CounterReply(place.name, result, total, place.tookMicros(now));
    ArrayDeque<PendingCall> line = lines.get(place.name);
    while (line != null && !line.isEmpty() && line.peek().ended()) {
      CounterReply next = line.poll().end;
      if (line.isEmpty()) {
        lines.remove(place.name);
      }
      if (!closed) {
        told.accept(next);
      }
    }
  }

  /** Nobody is told any more. */
  public void close() {
    closed = true;
  }
}
