package fawndock.platform;

import fawndock.host.Alarms;
import fawndock.settings.Address;
import fawndock.wire.Json;
import fawndock.wire.WireException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the catalog at one address: the whole list, then the changes after it, for as long as it lives. A watch on
 * which nothing comes, not even an empty line, is dead and is made again from the version last seen. Netty's HTTP/1.1
 * codec: Vert.x's own HTTP client alone costs a quarter of the program's start. One context.
 */
final class CatalogWatch {
    private static final Logger LOG = LoggerFactory.getLogger(CatalogWatch.class);
    private static final String PATH = "/catalog/members";
    /** Empty lines come every 2 s; two of them missing is a dead watch. */
    private static final long DEAD_MICROS = 4_500_000;
    private static final long ANSWER_MICROS = 1_500_000;
    private static final long FIRST_PAUSE = 50_000;
    private static final long LONGEST_PAUSE = 1_000_000;
    private static final int LONGEST_LINE = 4 << 20;
    private static final long CONNECT_MICROS = 1_000_000;
    private final Sockets sockets;
    private final Alarms alarms;
    private final Address address;
    private final Consumer<CatalogList> told;
    private Asking asking;
    private Alarms.Alarm limit;
    private long index = -1;
    private long pause = FIRST_PAUSE;
    private boolean closed;

    /** Made for one address; it asks nothing yet. */
    CatalogWatch(Sockets sockets, Address address, Alarms alarms, Consumer<CatalogList> told) {
        this.alarms = alarms;
        this.address = address;
        this.told = told;
        this.sockets = sockets;
    }

    /** One exchange over a connection of its own. */
    private final class Asking extends ChannelInboundHandlerAdapter {
        private final boolean whole = index < 0;
        private final String uri = whole ? PATH : PATH + "?stream=1&index=" + index;
        private final ByteBuf line = Unpooled.buffer(256);
        private ChannelHandlerContext context;

        @Override
        public void handlerAdded(ChannelHandlerContext handler) {
            context = handler;
            handler.pipeline().addBefore(handler.name(), "http", new HttpClientCodec());
        }

        @Override
        public void channelActive(ChannelHandlerContext handler) {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
            request.headers().set(HttpHeaderNames.HOST, address.toString());
            handler.writeAndFlush(request);
        }

        @Override
        public void channelInactive(ChannelHandlerContext handler) {
            again(this, "closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext handler, Throwable cause) {
            again(this, cause.toString());
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                if (asking != this) {
                    return;
                }
                if (((HttpObject) message).decoderResult().isFailure()) {
                    again(this, "an answer that is not HTTP");
                    return;
                }
                alive(this, whole ? ANSWER_MICROS : DEAD_MICROS);
                if (message instanceof HttpResponse head && head.status().code() != 200) {
                    again(this, "status " + head.status().code());
                } else if (message instanceof HttpContent content) {
                    content(content.content(), message instanceof LastHttpContent);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void content(ByteBuf part, boolean last) {
            while (part.isReadable() && asking == this) {
                int end = whole ? -1 : part.bytesBefore((byte) '\n');
                line.writeBytes(part, end < 0 ? part.readableBytes() : end);
                if (end >= 0) {
                    part.skipBytes(1);
                    ended();
                }
            }
            if (line.readableBytes() > LONGEST_LINE) {
                again(this, "a line of more than " + LONGEST_LINE + " bytes");
            }
            if (last && asking == this) {
                if (whole && ended()) {
                    ask();
                } else {
                    again(this, "ended");
                }
            }
        }

        /** A line is whole, or the whole list is. */
        private boolean ended() {
            String text = line.toString(StandardCharsets.UTF_8);
            line.clear();
            return !text.isBlank() && take(text);
        }

        void end() {
            if (context != null) {
                context.close();
            }
        }
    }

    /** Asks for the whole list, and then for what changes. Told again, begins anew. */
    void start() {
        index = -1;
        ask();
    }

    private void ask() {
        if (closed) {
            return;
        }
        Asking before = asking;
        Asking mine = new Asking();
        asking = mine;
        if (before != null) {
            before.end();
        }
        alive(mine, ANSWER_MICROS);
        sockets.connect(address, CONNECT_MICROS, mine).addListener(made -> {
            if (!made.isSuccess()) {
                again(mine, "no connection");
            } else if (asking != mine) {
                mine.end();
            }
        });
    }

    private void alive(Asking mine, long micros) {
        alarms.cancel(limit);
        limit = alarms.after(micros, () -> again(mine, "silent"));
    }

    /** Takes in a list; one that cannot be read is reported, and the whole list is asked for anew. */
    private boolean take(String text) {
        try {
            CatalogList list = CatalogList.of(Json.parse(text));
            if (list.whole() && list.servers().isEmpty()) {
                LOG.warn("catalog {}: an empty list, the last one stays", address);
                return false;
            }
            index = Math.max(0, list.index());
            pause = FIRST_PAUSE;
            told.accept(list);
            return true;
        } catch (IOException | WireException e) {
            LOG.warn("catalog {}: a list that cannot be read: {}", address, e.getMessage());
            index = -1;
            again(asking, "unreadable");
            return false;
        }
    }

    private void again(Asking mine, String why) {
        if (mine != asking || mine == null || closed) {
            return;
        }
        asking = null;
        mine.end();
        alarms.cancel(limit);
        LOG.info("catalog {}: {}, asking again in {} ms", address, why, pause / 1_000);
        limit = alarms.after(pause, this::ask);
        pause = Math.min(LONGEST_PAUSE, 2 * pause);
    }

    void close() {
        closed = true;
        alarms.cancel(limit);
        if (asking != null) {
            asking.end();
            asking = null;
        }
    }
}
