package fawndock.platform;

import fawndock.runtime.Timers;
import fawndock.settings.Address;
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

/**
 * One call to the catalog over a connection of its own: the whole list, or a watch. Netty's
 * HTTP/1.1 codec: Vert.x's own HTTP client alone costs a quarter of the program's start. One
 * context.
 */
final class DiscoveryCall extends ChannelInboundHandlerAdapter implements JsonFramer.Listener {
  /**
   * Is told what the call brings; {@link #over} once at most, and nothing after it or after {@link
   * CatalogCall#end}.
   */
  interface Listener {
    /** A list, as text. */
    void onEndpointList(DiscoveryCall call, String text);

    /** Something whole has come: it lives. */
    void onActivity(DiscoveryCall call);

    /** It has ended, was refused, or brought what cannot be read. */
    void onEnded(DiscoveryCall call, String why, boolean unreadable);
  }

  private static final String PATH = "/catalog/members";
  private static final int LONGEST_LIST = 4 << 20;
  private static final long CONNECT_MICROS = 1_000_000;

  /** Whether it asks for the whole list, rather than for changes. */
  final boolean isSnapshotCall;

  /** Rings when nothing has come for too long; the owner's. */
  Timers.Timer idleTimer;

  /** Nothing came for too long: another call is out beside it. */
  boolean isSuspected;

  private final Listener owner;
  private final String uri;
  private final String host;
  private final JsonFramer framer = new JsonFramer(LONGEST_LIST);
  private ChannelHandlerContext context;
  private boolean end;

  /** Asks at once; with an index below 0 for the whole list, else for the changes after it. */
  DiscoveryCall(TcpTransport sockets, Address address, long index, Listener owner) {
    this.owner = owner;
    isSnapshotCall = index < 0;
    uri = isSnapshotCall ? PATH : PATH + "?stream=1&index=" + index;
    host = address.toString();
    sockets
        .connect(address, CONNECT_MICROS, this)
        .addListener(
            made -> {
              if (!made.isSuccess()) {
                end("no connection", false);
              } else if (end) {
                context.close();
              }
            });
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handler) {
    context = handler;
    handler.pipeline().addBefore(handler.name(), "http", new HttpClientCodec());
  }

  @Override
  public void channelActive(ChannelHandlerContext handler) {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
    request.headers().set(HttpHeaderNames.HOST, host);
    handler.writeAndFlush(request);
  }

  @Override
  public void channelInactive(ChannelHandlerContext handler) {
    end("closed", false);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handler, Throwable cause) {
    end(cause.toString(), false);
  }

  @Override
  public void channelRead(ChannelHandlerContext handler, Object message) {
    try {
      if (end) {
        return;
      }
      if (((HttpObject) message).decoderResult().isFailure()) {
        end("an answer that is not HTTP", false);
      } else if (message instanceof HttpResponse head && head.status().code() != 200) {
        if (head.status().code() >= 200) {
          end("status " + head.status().code(), false);
        }
      } else if (message instanceof HttpContent content) {
        framer.read(content.content(), this);
        if (message instanceof LastHttpContent && !end) {
          end("ended", false);
        }
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void onObject(String text) {
    owner.onActivity(this);
    owner.onEndpointList(this, text);
  }

  @Override
  public void onLineEnd() {
    owner.onActivity(this);
  }

  @Override
  public void onMalformed(String why) {
    end(why, true);
  }

  private void end(String why, boolean unreadable) {
    if (!end) {
      close();
      owner.onEnded(this, why, unreadable);
    }
  }

  /** Ends it; nothing is told any more. */
  void close() {
    end = true;
    framer.close();
    if (context != null) {
      context.close();
    }
  }
}
