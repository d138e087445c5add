package fawndock.platform;

import fawndock.memory.PartialMessageMemory;
import fawndock.resp.Reply;
import fawndock.resp.ReplyReader;
import io.netty.buffer.ByteBuf;
import java.util.function.Consumer;

/**
 * One connection to a backend, either used by one attempt or idle in its pool. Bytes received on an
 * idle connection, such as a late duplicate response, close it. Confined to one event loop.
 */
final class PooledConnection implements RespConnection.Listener, PartialMessageMemory.Holder {
  private static final int MAX_VALUE_BYTES = 64 << 10;
  private static final int MAX_LINE_BYTES = 1_024;
  private static final ReplyReader REPLY_READER =
      new ReplyReader(MAX_VALUE_BYTES, MAX_LINE_BYTES, BackendReply.ELEMENT_COUNT);

  private final BackendConnectionPools pools;
  private final BackendConnectionPools.EndpointPool pool;
  private final RespConnection connection;

  /** The attempt that uses the connection; null while idle. */
  private BackendAttempt attempt;

  private long idleSinceMicros;

  /** Opens a connection for an attempt. */
  PooledConnection(
      BackendConnectionPools pools,
      BackendConnectionPools.EndpointPool pool,
      BackendAttempt attempt) {
    this.pools = pools;
    this.pool = pool;
    this.attempt = attempt;
    connection =
        new RespConnection(
            pools.transport(), pool.address, pools.connectTimeoutMicros(), REPLY_READER, this);
  }

  /** Assigns the idle connection to an attempt. */
  void assign(BackendAttempt newAttempt) {
    attempt = newAttempt;
    newAttempt.onConnectionAvailable(this);
  }

  /** Writes a command; the listener receives whether all of it was handed to the network. */
  void write(ByteBuf command, Consumer<Boolean> writeListener) {
    connection.write(command, writeListener);
  }

  long idleSinceMicros() {
    return idleSinceMicros;
  }

  @Override
  public boolean expectsReply() {
    return attempt != null && attempt.isWriteStarted();
  }

  @Override
  public void onConnected() {
    if (!attempt.onConnectionAvailable(this)) {
      release(); // The attempt has completed meanwhile; the connection can serve another one.
    }
  }

  @Override
  public void onReply(Reply reply, boolean hasMoreBytes) {
    BackendAttempt completedAttempt = attempt;
    attempt = null;
    BackendReply backendReply = BackendReply.of(reply);
    if (reply.isError() || !backendReply.isConnectionReusable()) {
      pools.activity().recordError(reply.type() + reply.text());
    }
    // The connection is released before the attempt gets its reply, because the next attempt may
    // need it.
    if (hasMoreBytes || !backendReply.isConnectionReusable()) {
      abort();
    } else {
      release();
    }
    completedAttempt.onReply(backendReply);
  }

  @Override
  public void onRetained(int retainedBytes) {
    // A connection gets one reply at a time, so what it retains has begun with its first byte.
    pools.replyMemory().update(this, retainedBytes, false);
  }

  @Override
  public void onEvicted() {
    connection.close();
    onProtocolError("no memory for the rest of the reply");
  }

  @Override
  public void onProtocolError(String reason) {
    pools.activity().recordError(reason);
    pools.onConnectionClosed(pool, this);
    if (attempt != null) {
      attempt.onProtocolError();
    }
  }

  @Override
  public void onClosed(boolean wasConnected) {
    pools.onConnectionClosed(pool, this);
    if (attempt != null && wasConnected) {
      attempt.onConnectionClosed();
    } else if (attempt != null) {
      attempt.onConnectFailed();
    }
  }

  /** Returns the connection to its pool, or closes it if its endpoint has been removed. */
  void release() {
    attempt = null;
    if (pools.isCurrent(pool)) {
      idleSinceMicros = pools.nowMicros();
      pool.idleConnections.add(this);
    } else {
      abort();
    }
  }

  /** Closes the connection. Nothing is reported for it afterwards. */
  void abort() {
    attempt = null;
    pools.onConnectionClosed(pool, this);
    connection.close();
  }
}
