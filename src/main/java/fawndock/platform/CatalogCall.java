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
final class CatalogCall extends ChannelInboundHandlerAdapter implements JsonFramer.Found {
  /**
   * Is told what the call brings; {@link #over} once at most, and nothing after it or after {@link
   * CatalogCall#end}.
   */
  interface Owner {
    /** A list, as text. */
    void list(CatalogCall call, String text);

    /** Something whole has come: it lives. */
    void alive(CatalogCall call);

    /** It has ended, was refused, or brought what cannot be read. */
    void over(CatalogCall call, String why, boolean unreadable);
  }

  private static final String PATH = "/catalog/members";
  private static final int LONGEST_LIST = 4 << 20;
  private static final long CONNECT_MICROS = 1_000_000;

  /** Whether it asks for the whole list, rather than for changes. */
  final boolean whole;

  /** Rings when nothing has come for too long; the owner's. */
  Timers.Timer silence;

  /** Nothing came for too long: another call is out beside it. */
  boolean suspected;

  private final Owner owner;
  private final String uri;
  private final String host;
  private final JsonFramer framer = new JsonFramer(LONGEST_LIST);
  private ChannelHandlerContext context;
  private boolean over;

  /** Asks at once; with an index below 0 for the whole list, else for the changes after it. */
  CatalogCall(Sockets sockets, Address address, long index, Owner owner) {
    this.owner = owner;
    whole = index < 0;
    uri = whole ? PATH : PATH + "?stream=1&index=" + index;
    host = address.toString();
    sockets
        .connect(address, CONNECT_MICROS, this)
        .addListener(
            made -> {
              if (!made.isSuccess()) {
                over("no connection", false);
              } else if (over) {
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
    over("closed", false);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handler, Throwable cause) {
    over(cause.toString(), false);
  }

  @Override
  public void channelRead(ChannelHandlerContext handler, Object message) {
    try {
      if (over) {
        return;
      }
      if (((HttpObject) message).decoderResult().isFailure()) {
        over("an answer that is not HTTP", false);
      } else if (message instanceof HttpResponse head && head.status().code() != 200) {
        if (head.status().code() >= 200) {
          over("status " + head.status().code(), false);
        }
      } else if (message instanceof HttpContent content) {
        framer.take(content.content(), this);
        if (message instanceof LastHttpContent && !over) {
          over("ended", false);
        }
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void object(String text) {
    owner.alive(this);
    owner.list(this, text);
  }

  @Override
  public void lineEnd() {
    owner.alive(this);
  }

  @Override
  public void unreadable(String why) {
    over(why, true);
  }

  private void over(String why, boolean unreadable) {
    if (!over) {
      end();
      owner.over(this, why, unreadable);
    }
  }

  /** Ends it; nothing is told any more. */
  void end() {
    over = true;
    framer.close();
    if (context != null) {
      context.close();
    }
  }
}
