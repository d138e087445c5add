package fawndock.platform;

import fawndock.resp.ProtocolException;
import fawndock.resp.Reply;
import fawndock.resp.ReplyReader;
import fawndock.settings.Address;
import io.netty.buffer.ByteBuf;
import java.util.function.Consumer;

/**
 * One connection on which commands go out and replies come in, to a worker or to the counter. It
 * sends nothing by itself and is never opened again: what was on it ends with it. One context.
 */
final class RespConnection {
  /** Is told on the context what comes; {@link #closed} exactly once, and nothing after it. */
  interface Listener {
    /** The connection is up. */
    void onConnected();

    /**
     * Whether a reply is owed by the other side: bytes that come while none is are noise, and end
     * the connection.
     */
    boolean expectsReply();

    /** A reply has come; {@code more} says that bytes stand behind it. */
    void onReply(Reply reply, boolean more);

    /** What came is no reply. The connection has been closed. */
    void onProtocolError(String why);

    /** It did not come up, or it is over; not told after {@link #close} was called. */
    void onClosed(boolean wasUp);
  }

  private final ReplyReader reader;
  private final Listener owner;
  private final ByteConnection wire =
      new ByteConnection() {
        @Override
        void onBytes(ByteBuf in) {
          read(in);
        }

        @Override
        void onDisconnected() {
          over(up);
        }
      };
  private boolean up;
  private boolean closed;

  RespConnection(
      TcpTransport sockets,
      Address address,
      long connectMicros,
      ReplyReader reader,
      Listener owner) {
    this.reader = reader;
    this.owner = owner;
    sockets
        .connect(address, connectMicros, wire)
        .addListener(
            made -> {
              if (!made.isSuccess()) {
                over(false);
              } else if (closed) {
                wire.close();
              } else {
                up = true;
                owner.onConnected();
              }
            });
  }

  boolean isConnected() {
    return up && !closed;
  }

  /**
   * Writes; the consumer is told whether all of it was handed to the network, false when the
   * connection broke before.
   */
  void write(ByteBuf bytes, Consumer<Boolean> written) {
    wire.send(bytes).addListener(done -> written.accept(done.isSuccess()));
  }

  private void read(ByteBuf in) {
    try {
      if (!owner.expectsReply()) {
        throw new ProtocolException("bytes that nobody asked for");
      }
      for (Reply reply = reader.next(in); reply != null; reply = closed ? null : reader.next(in)) {
        owner.onReply(reply, in.isReadable());
      }
    } catch (ProtocolException e) {
      if (!closed) {
        close();
        owner.onProtocolError(e.getMessage());
      }
    }
  }

  private void over(boolean wasUp) {
    if (!closed) {
      closed = true;
      owner.onClosed(wasUp);
    }
  }

  /** Ends it now; nothing is told any more. */
  void close() {
    closed = true;
    if (up) {
      wire.close();
    }
  }
}
