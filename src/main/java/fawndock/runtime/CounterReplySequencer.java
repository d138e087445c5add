package fawndock.runtime;

import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Reports the reply of each counter call exactly once, and the replies of one counter in the order
 * in which its calls were made. Confined to one event loop.
 */
public final class CounterReplySequencer {
  /** A call whose reply has not been reported yet. */
  public static class PendingCall {
    private final String counterName;
    private final long startedAtMicros;
    private CounterReply reply;

    /** Creates a call to this counter that starts at this time. */
    public PendingCall(String counterName, long startedAtMicros) {
      this.counterName = counterName;
      this.startedAtMicros = startedAtMicros;
    }

    /** Returns the time since the call was made, in microseconds. */
    public long elapsedMicros(long nowMicros) {
      return nowMicros - startedAtMicros;
    }

    /** Returns whether the call has a result, reported or not. */
    public boolean isCompleted() {
      return reply != null;
    }
  }

  private final Map<String, ArrayDeque<PendingCall>> pendingCallsByCounter = new HashMap<>();
  private final Consumer<CounterReply> replyListener;
  private boolean isClosed;

  /** Creates a sequencer that reports replies to this listener. */
  public CounterReplySequencer(Consumer<CounterReply> replyListener) {
    this.replyListener = replyListener;
  }

  /** Registers a call that is about to be made. */
  public void begin(PendingCall call) {
    pendingCallsByCounter.computeIfAbsent(call.counterName, name -> new ArrayDeque<>(2)).add(call);
  }

  /**
   * Completes a call. While an earlier call to the same counter is pending, the reply is held back
   * and reported after that call's reply.
   *
   * @param total the counter's value after the call; 0 when the result has none
   */
  public void complete(PendingCall call, CallResult result, double total, long nowMicros) {
    call.reply = new CounterReply(call.counterName, result, total, call.elapsedMicros(nowMicros));
    ArrayDeque<PendingCall> pendingCalls = pendingCallsByCounter.get(call.counterName);
    while (pendingCalls != null && !pendingCalls.isEmpty() && pendingCalls.peek().isCompleted()) {
      CounterReply next = pendingCalls.poll().reply;
      if (pendingCalls.isEmpty()) {
        pendingCallsByCounter.remove(call.counterName);
      }
      if (!isClosed) {
        replyListener.accept(next);
      }
    }
  }

  /** Stops reporting. Idempotent. */
  public void close() {
    isClosed = true;
  }
}
