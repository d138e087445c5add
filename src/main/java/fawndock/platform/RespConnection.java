package fawndock.platform;

import fawndock.resp.ProtocolException;
import fawndock.resp.Reply;
import fawndock.resp.ReplyReader;
import fawndock.settings.Address;
import io.netty.buffer.ByteBuf;
import java.util.function.Consumer;

/**
 * One RESP client connection, to an endpoint or to the counter: commands out, replies in. It is
 * never reopened. Confined to one event loop.
 */
final class RespConnection implements AutoCloseable {
  /**
   * Is called on the event loop. Exactly one of {@link #onProtocolError} and {@link #onClosed} is
   * called last, neither after {@link RespConnection#close}.
   */
  interface Listener {
    /** The connection is up. */
    void onConnected();

    /** Returns whether a reply is outstanding; bytes while none is are a protocol error. */
    boolean expectsReply();

    /**
     * A reply has come.
     *
     * @param hasMoreBytes whether bytes stand behind it
     */
    void onReply(Reply reply, boolean hasMoreBytes);

    /** Bytes that are no reply have come; the connection has been closed. */
    void onProtocolError(String reason);

    /** The connection did not come up, or was closed by the other side. */
    void onClosed(boolean wasConnected);
  }

  private final ReplyReader reader;
  private final Listener listener;
  private final ByteConnection connection =
      new ByteConnection() {
        @Override
        void onBytes(ByteBuf in) {
          readReplies(in);
        }

        @Override
        void onDisconnected() {
          notifyClosed(isConnected);
        }
      };
  private boolean isConnected;
  private boolean isClosed;

  /** Connects at once; {@link Listener#onConnected} is called in a later turn. */
  RespConnection(
      TcpTransport transport,
      Address address,
      long connectTimeoutMicros,
      ReplyReader reader,
      Listener listener) {
    this.reader = reader;
    this.listener = listener;
    transport
        .connect(address, connectTimeoutMicros, connection)
        .addListener(connected -> onConnectDone(connected.isSuccess()));
  }

  private void onConnectDone(boolean isSuccess) {
    if (!isSuccess) {
      notifyClosed(false);
    } else if (isClosed) {
      connection.close();
    } else {
      isConnected = true;
      listener.onConnected();
    }
  }

  boolean isConnected() {
    return isConnected && !isClosed;
  }

  /**
   * Writes a command.
   *
   * @param writeListener is told whether all bytes were handed to the network; false when the
   *     connection broke before
   */
  void write(ByteBuf command, Consumer<Boolean> writeListener) {
    connection.send(command).addListener(written -> writeListener.accept(written.isSuccess()));
  }

  private void readReplies(ByteBuf in) {
    try {
      if (!listener.expectsReply()) {
        throw new ProtocolException("unexpected bytes, no reply is outstanding");
      }
      for (Reply reply = reader.next(in);
          reply != null;
          reply = isClosed ? null : reader.next(in)) {
        listener.onReply(reply, in.isReadable());
      }
    } catch (ProtocolException e) {
      if (!isClosed) {
        close();
        listener.onProtocolError(e.getMessage());
      }
    }
  }

  private void notifyClosed(boolean wasConnected) {
    if (!isClosed) {
      isClosed = true;
      listener.onClosed(wasConnected);
    }
  }

  /** Closes the connection; the listener is not called any more. Idempotent. */
  @Override
  public void close() {
    isClosed = true;
    if (isConnected) {
      connection.close();
    }
  }
}
