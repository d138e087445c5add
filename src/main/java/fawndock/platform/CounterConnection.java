package fawndock.platform;

import fawndock.policy.event.CallResult;
import fawndock.resp.Reply;
import fawndock.resp.ReplyReader;
import fawndock.settings.Address;
import java.util.ArrayDeque;
import java.util.List;

/**
 * One pipelined connection to the counter. A call that has timed out keeps its place among the
 * replies, so that its total is not taken for another call's. Confined to one event loop.
 */
final class CounterConnection implements RespConnection.Listener {
  /** A connection with calls in flight and no reply for this time is taken to be dead. */
  static final long REPLY_TIMEOUT_MICROS = 2_000_000;

  private static final int MAX_REPLY_BYTES = 512;
  private static final ReplyReader REPLY_READER =
      new ReplyReader(MAX_REPLY_BYTES, MAX_REPLY_BYTES, 0);

  /** Learns how calls end and when the connection is closed. */
  interface Listener {
    /** The connection is up. */
    void onConnected();

    /** A call has its result; {@code total} is 0 where the result carries none. */
    void onCompleted(CounterCall call, CallResult result, double total);

    /** The connection is closed; called before its pending calls end. */
    void onClosed(CounterConnection connection, boolean wasConnected);

    /** Returns the time in microseconds. */
    long nowMicros();
  }

  private final Listener listener;

  /** Calls in the order in which they are sent, from the first without a reply. */
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

  /** Sends a call, now or once the connection is up. */
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

  /** Has the connection closed once nothing is pending on it: it gets no further calls. */
  void retire() {
    isRetired = true;
  }

  /** Aborts the connection when its counter has gone silent, or when it is retired and done. */
  void abortIfUnusable(long nowMicros) {
    boolean isUnusable =
        pendingCalls.isEmpty() ? isRetired : nowMicros - lastReplyMicros > REPLY_TIMEOUT_MICROS;
    if (isUnusable) {
      abort();
    }
  }

  @Override
  public boolean expectsReply() {
    return !pendingCalls.isEmpty();
  }

  @Override
  public void onConnected() {
    listener.onConnected();
    lastReplyMicros = listener.nowMicros();
    // Calls that timed out before they were sent: nothing of them may be added.
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
      // Malformed: the amount was added, and the replies behind it cannot be trusted.
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

  /** Closes the connection; its pending calls end as if it had broken. */
  void abort() {
    connection.close();
    onClosed(true);
  }
}
