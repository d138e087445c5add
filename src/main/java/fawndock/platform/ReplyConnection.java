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
final class ReplyConnection {
  /** Is told on the context what comes; {@link #closed} exactly once, and nothing after it. */
  interface Owner {
    /** The connection is up. */
    void up();

    /**
     * Whether a reply is owed by the other side: bytes that come while none is are noise, and end
     * the connection.
     */
    boolean waits();

    /** A reply has come; {@code more} says that bytes stand behind it. */
    void reply(Reply reply, boolean more);

    /** What came is no reply. The connection has been closed. */
    void spoilt(String why);

    /** It did not come up, or it is over; not told after {@link #close} was called. */
    void closed(boolean wasUp);
  }

  private final ReplyReader reader;
  private final Owner owner;
  private final Wire wire =
      new Wire() {
        @Override
        void bytes(ByteBuf in) {
          read(in);
        }

        @Override
        void ended() {
          over(up);
        }
      };
  private boolean up;
  private boolean closed;

  ReplyConnection(
      Sockets sockets, Address address, long connectMicros, ReplyReader reader, Owner owner) {
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
                owner.up();
              }
            });
  }

  boolean isUp() {
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
      if (!owner.waits()) {
        throw new ProtocolException("bytes that nobody asked for");
      }
      for (Reply reply = reader.next(in); reply != null; reply = closed ? null : reader.next(in)) {
        owner.reply(reply, in.isReadable());
      }
    } catch (ProtocolException e) {
      if (!closed) {
        close();
        owner.spoilt(e.getMessage());
      }
    }
  }

  private void over(boolean wasUp) {
    if (!closed) {
      closed = true;
      owner.closed(wasUp);
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
