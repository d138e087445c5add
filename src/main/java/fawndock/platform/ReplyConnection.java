package fawndock.platform;

import fawndock.resp.ProtocolException;
import fawndock.resp.Reply;
import fawndock.resp.ReplyReader;
import fawndock.settings.Address;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.function.Consumer;

/**
 * One connection on which commands go out and replies come in, to a worker or to the counter. It sends nothing by
 * itself and is never opened again: what was on it ends with it. One context.
 */
final class ReplyConnection {
    /** Is told on the context what comes; {@link #closed} exactly once, and nothing after it. */
    interface Owner {
        /** The connection is up. */
        void up();

        /** A reply has come; {@code more} says that bytes stand behind it. */
        void reply(Reply reply, boolean more);

        /** What came is no reply. The connection closes after this. */
        void spoilt(String why);

        /** It did not come up, or it is over; not told after {@link #close} was called. */
        void closed(boolean wasUp);
    }

    private final ReplyReader reader;
    private final Owner owner;
    private NetSocket socket;
    private ByteBuf input = Unpooled.EMPTY_BUFFER;
    private boolean closed;

    ReplyConnection(NetClient client, SocketAddress address, ReplyReader reader, Owner owner) {
        this.reader = reader;
        this.owner = owner;
        client.connect(address).onComplete(made -> {
            if (closed) {
                if (made.succeeded()) {
                    made.result().close();
                }
            } else if (made.failed()) {
                closed = true;
                owner.closed(false);
            } else {
                socket = made.result();
                socket.handler(this::bytes);
                socket.exceptionHandler(e -> { });
                socket.closeHandler(v -> over());
                owner.up();
            }
        });
    }

    static SocketAddress socketAddress(Address address) {
        return address.port() == 0 ? SocketAddress.domainSocketAddress(address.host())
                : SocketAddress.inetSocketAddress(address.port(), address.host());
    }

    boolean isUp() {
        return socket != null && !closed;
    }

    /** Writes; the consumer is told whether all of it was handed to the network, false when the connection broke before. */
    void write(Buffer bytes, Consumer<Boolean> written) {
        socket.write(bytes).onComplete(done -> written.accept(done.succeeded()));
    }

    private void bytes(Buffer part) {
        if (closed) {
            return;
        }
        byte[] got = part.getBytes();
        input = input.isReadable() ? Unpooled.buffer(input.readableBytes() + got.length).writeBytes(input).writeBytes(got)
                : Unpooled.wrappedBuffer(got);
        try {
            for (Reply reply = reader.next(input); reply != null && !closed; reply = closed ? null : reader.next(input)) {
                owner.reply(reply, input.isReadable());
            }
        } catch (ProtocolException e) {
            if (!closed) {
                owner.spoilt(e.getMessage());
                close();
            }
        }
    }

    private void over() {
        if (!closed) {
            closed = true;
            owner.closed(true);
        }
    }

    /** Ends it now; nothing is told any more. */
    void close() {
        closed = true;
        if (socket != null) {
            socket.close();
        }
    }
}
