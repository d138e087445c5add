package fawndock.platform;

import fawndock.resp.ProtocolException;
import fawndock.resp.Reply;
import fawndock.resp.ReplyReader;
import fawndock.settings.Address;
import io.netty.buffer.ByteBuf;
import java.util.function.Consumer;

/**
 * One RESP client connection to an endpoint or the counter: writes commands and reads replies. A
 * connection is never reopened. Confined to one event loop.
 */
final class RespConnection implements AutoCloseable {
  /**
   * Receives replies and the state of the connection, on the event loop. The last call is exactly
   * one of {@link #onProtocolError} and {@link #onClosed}, unless {@link RespConnection#close} was
   * called before; after it neither is called.
   */
  interface Listener {
    /** Called when the connection is open. */
    void onConnected();

    /**
     * Returns whether a reply is outstanding; bytes received while none is are a protocol error.
     */
    boolean expectsReply();

    /**
     * Called with each reply.
     *
     * @param hasMoreBytes whether bytes that follow the reply have been received
     */
    void onReply(Reply reply, boolean hasMoreBytes);

    /**
     * Called after bytes have been received.
     *
     * @param retainedBytes memory of the reply that is not whole; 0 if there is none
     */
    default void onRetained(int retainedBytes) {
      // Replies that are always short need no count of their memory.
    }

    /** Called after the connection was closed because of bytes that are not a valid reply. */
    void onProtocolError(String reason);

    /** Called when the connection could not be opened, or was closed by the peer. */
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
        void onRetained() {
          if (!RespConnection.this.isClosed) {
            listener.onRetained(retainedBytes());
          }
        }

        @Override
        void onDisconnected() {
          notifyClosed(isConnected);
        }
      };
  private boolean isConnected;
  private boolean isClosed;

  /**
   * Starts to connect; {@link Listener#onConnected} is called in a later turn of the event loop.
   */
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
   * @param writeListener receives whether all bytes were handed to the network; false if the
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

  /** Closes the connection. The listener is not called afterwards. Idempotent. */
  @Override
  public void close() {
    isClosed = true;
    if (isConnected) {
      connection.close();
    }
  }
}
