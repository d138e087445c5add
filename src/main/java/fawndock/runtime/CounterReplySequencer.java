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
    private final String counterName;
    private final long startedAtMicros;
    private CounterReply reply;

    /** A call of this name, made at this time in microseconds. */
    public PendingCall(String name, long startedAt) {
      this.counterName = name;
      this.startedAtMicros = startedAt;
    }

    /** How long it has been out. */
    public long elapsedMicros(long now) {
      return now - startedAtMicros;
    }

    public boolean isCompleted() {
      return reply != null;
    }
  }

  private final Map<String, ArrayDeque<PendingCall>> pendingCallsByCounter = new HashMap<>();
  private final Consumer<CounterReply> replyListener;
  private boolean isClosed;

  /** Ends are told to the consumer given. */
  public CounterReplySequencer(Consumer<CounterReply> told) {
    this.replyListener = told;
  }

  /** A call is made. */
  public void begin(PendingCall place) {
    pendingCallsByCounter
        .computeIfAbsent(place.counterName, name -> new ArrayDeque<>(2))
        .add(place);
  }

  /**
   * A call that ends before an older one of its name, such as one that was never sent, waits for
   * it.
   */
  public void complete(PendingCall place, CallResult result, double total, long now) {
    place.reply = new CounterReply(place.counterName, result, total, place.elapsedMicros(now));
    ArrayDeque<PendingCall> line = pendingCallsByCounter.get(place.counterName);
    while (line != null && !line.isEmpty() && line.peek().isCompleted()) {
      CounterReply next = line.poll().reply;
      if (line.isEmpty()) {
        pendingCallsByCounter.remove(place.counterName);
      }
      if (!isClosed) {
        replyListener.accept(next);
      }
    }
  }

  /** Nobody is told any more. */
  public void close() {
    isClosed = true;
  }
}
