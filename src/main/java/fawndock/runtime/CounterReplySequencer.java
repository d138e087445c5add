package fawndock.runtime;

import fawndock.policy.event.CallResult;
import fawndock.policy.event.CounterReply;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Reports each counter call exactly once, and the calls of one counter in the order in which they
 * were made. Confined to one event loop.
 */
public final class CounterReplySequencer {
  /** A call whose reply has not been reported yet. */
  public static class PendingCall {
    private final String counterName;
    private final long startedAtMicros;
    private CounterReply reply;

    /** Describes a call of this counter, made at this time. */
    public PendingCall(String counterName, long startedAtMicros) {
      this.counterName = counterName;
      this.startedAtMicros = startedAtMicros;
    }

    /** Returns the time since the call was made, in microseconds. */
    public long elapsedMicros(long nowMicros) {
      return nowMicros - startedAtMicros;
    }

    /** Returns whether the call has its result, reported or not. */
    public boolean isCompleted() {
      return reply != null;
    }
  }

  private final Map<String, ArrayDeque<PendingCall>> pendingCallsByCounter = new HashMap<>();
  private final Consumer<CounterReply> replyListener;
  private boolean isClosed;

  /** Reports replies to the listener. */
  public CounterReplySequencer(Consumer<CounterReply> replyListener) {
    this.replyListener = replyListener;
  }

  /** Registers a call that is being made. */
  public void begin(PendingCall call) {
    pendingCallsByCounter.computeIfAbsent(call.counterName, name -> new ArrayDeque<>(2)).add(call);
  }

  /**
   * Completes a call. When an older call of the same counter is still pending, this one is reported
   * after it.
   *
   * @param total the counter's value after the call; 0 where the result carries none
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
