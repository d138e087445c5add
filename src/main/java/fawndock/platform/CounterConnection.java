package fawndock.platform;

import fawndock.policy.event.CallResult;
import fawndock.resp.Reply;
import fawndock.resp.ReplyReader;
import fawndock.settings.Address;
import java.util.ArrayDeque;
import java.util.List;

/**
 * One pipelined connection to the counter. A call that has timed out stays in the queue of expected
 * replies, so that its total is not taken for that of another call. Confined to one event loop.
 */
final class CounterConnection implements RespConnection.Listener {
  /** A connection with calls in flight and no reply for this time is considered dead. */
  static final long REPLY_TIMEOUT_MICROS = 2_000_000;

  private static final int MAX_REPLY_BYTES = 512;
  private static final ReplyReader REPLY_READER =
      new ReplyReader(MAX_REPLY_BYTES, MAX_REPLY_BYTES, 0);

  /** Receives the results of calls and the state of the connection. */
  interface Listener {
    /** Called when the connection is open. */
    void onConnected();

    /** Called when a call has its result; {@code total} is 0 if the result carries none. */
    void onCompleted(CounterCall call, CallResult result, double total);

    /** Called when the connection is closed, before its pending calls complete. */
    void onClosed(CounterConnection connection, boolean wasConnected);

    /** Returns the time in microseconds. */
    long nowMicros();
  }

  private final Listener listener;

  /** Calls without a reply, in the order in which they are sent. */
  private final ArrayDeque<CounterCall> pendingCalls = new ArrayDeque<>();

  private final RespConnection connection;
  private long lastReplyMicros;
  private boolean isRetired;

  CounterConnection(
      TcpTransport transport, Address address, long connectTimeoutMicros, Listener listener) {
    this.listener = listener;
    lastReplyMicros = listener.nowMicros();
    connection = new RespConnection(transport, address, connectTimeoutMicros, REPLY_READER, this);
  }

  /** Sends a call, now or once the connection is open. */
  void send(CounterCall call) {
    if (pendingCalls.isEmpty()) {
      lastReplyMicros = listener.nowMicros();
    }
    pendingCalls.add(call);
    if (connection.isConnected()) {
      write(call);
    }
  }

  private void write(CounterCall call) {
    connection.write(call.encode(), isWriteComplete -> call.isWriteComplete |= isWriteComplete);
  }

  /** Marks the connection to be closed once no call waits; it must get no further calls. */
  void retire() {
    isRetired = true;
  }

  /** Aborts the connection if replies have stopped, or if it is retired and no call waits. */
  void abortIfUnusable(long nowMicros) {
    boolean isSilent =
        !pendingCalls.isEmpty() && nowMicros - lastReplyMicros > REPLY_TIMEOUT_MICROS;
    boolean isDone = isRetired && pendingCalls.stream().allMatch(CounterCall::isCompleted);
    if (isSilent || isDone) {
      abort();
    }
  }

  /** Returns the number of calls without a reply, including those that have timed out. */
  int unansweredCallCount() {
    return pendingCalls.size();
  }

  @Override
  public boolean expectsReply() {
    return !pendingCalls.isEmpty();
  }

  @Override
  public void onConnected() {
    listener.onConnected();
    lastReplyMicros = listener.nowMicros();
    // Calls that timed out before they were sent are dropped: their amounts must not be added.
    pendingCalls.removeIf(CounterCall::isCompleted);
    List.copyOf(pendingCalls).forEach(this::write);
  }

  @Override
  public void onReply(Reply reply, boolean hasMoreBytes) {
    lastReplyMicros = listener.nowMicros();
    CounterCall call = pendingCalls.poll();
    if (call == null) {
      abort();
      return;
    }
    if (reply.isError()) {
      listener.onCompleted(call, CallResult.SHED, 0);
      return;
    }
    Double total = CounterCall.decodeTotal(reply);
    if (total != null) {
      listener.onCompleted(call, CallResult.OK, total);
    } else {
      // The reply is malformed: the amount was added, and the replies after it cannot be trusted.
      listener.onCompleted(call, CallResult.TIMEOUT, 0);
      abort();
    }
  }

  @Override
  public void onProtocolError(String reason) {
    onClosed(true);
  }

  @Override
  public void onClosed(boolean wasConnected) {
    listener.onClosed(this, wasConnected);
    for (CounterCall call = pendingCalls.poll(); call != null; call = pendingCalls.poll()) {
      CallResult result = call.isWriteComplete ? CallResult.TIMEOUT : CallResult.CONNECT_FAILED;
      listener.onCompleted(call, result, 0);
    }
  }

  /** Closes the connection; its pending calls complete as if it had broken. */
  void abort() {
    connection.close();
    onClosed(true);
  }
}
