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
 * One HTTP call to endpoint discovery on its own connection, for a complete list or a watch. It
 * uses Netty's HTTP/1.1 codec because Vert.x's HTTP client alone takes a quarter of the startup
 * time. Confined to one event loop.
 */
final class DiscoveryCall extends ChannelInboundHandlerAdapter
    implements JsonFramer.Listener, AutoCloseable {
  /**
   * Receives the results of a call. {@link #onEnded} is called at most once, and no method is
   * called after it or after {@link DiscoveryCall#close}.
   */
  interface Listener {
    /** Called with each list that is received, as JSON text. */
    void onEndpointList(DiscoveryCall call, String json);

    /** Called when a list or an empty line is received, which shows that the call is alive. */
    void onActivity(DiscoveryCall call);

    /** Called when the call has ended, was refused, or received malformed data. */
    void onEnded(DiscoveryCall call, String reason, boolean isMalformed);
  }

  private static final int MAX_LIST_BYTES = 4 << 20;
  private static final long CONNECT_TIMEOUT_MICROS = 1_000_000;
  private static final int STATUS_OK = 200;

  /** Whether this call fetches a complete list, rather than being a watch. */
  final boolean isSnapshotCall;

  /** Timer that fires when nothing has been received for too long; owned by the listener. */
  Timers.Timer idleTimer;

  /**
   * Whether nothing has been received for too long, so that another call was opened in parallel.
   */
  boolean isSuspected;

  private final Listener listener;
  private final String uri;
  private final String hostHeader;
  private final JsonFramer framer = new JsonFramer(MAX_LIST_BYTES);
  private ChannelHandlerContext context;
  private boolean isClosed;

  private DiscoveryCall(
      TcpTransport transport,
      Address address,
      String uri,
      boolean isSnapshotCall,
      Listener listener) {
    this.listener = listener;
    this.isSnapshotCall = isSnapshotCall;
    this.uri = uri;
    hostHeader = address.toString();
    transport
        .connect(address, CONNECT_TIMEOUT_MICROS, this)
        .addListener(
            connected -> {
              if (!connected.isSuccess()) {
                end("no connection", false);
              } else if (isClosed) {
                closeChannel();
              }
            });
  }

  /** Opens a call that fetches a complete list. */
  static DiscoveryCall fetchSnapshot(TcpTransport transport, Address address, Listener listener) {
    return new DiscoveryCall(transport, address, EndpointListCodec.SNAPSHOT_PATH, true, listener);
  }

  /** Opens a watch for the changes after a version. */
  static DiscoveryCall watch(
      TcpTransport transport, Address address, long version, Listener listener) {
    return new DiscoveryCall(
        transport, address, EndpointListCodec.WATCH_PATH + version, false, listener);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    context = handlerContext;
    handlerContext.pipeline().addBefore(handlerContext.name(), "http", new HttpClientCodec());
  }

  @Override
  public void channelActive(ChannelHandlerContext handlerContext) {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
    request.headers().set(HttpHeaderNames.HOST, hostHeader);
    handlerContext
        .writeAndFlush(request)
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                end("request not written: " + written.cause(), false);
              }
            });
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    end("closed", false);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    end(cause.toString(), false);
  }

  @Override
  public void channelRead(ChannelHandlerContext handlerContext, Object message) {
    try {
      if (!isClosed) {
        onMessage(message);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onMessage(Object message) {
    if (((HttpObject) message).decoderResult().isFailure()) {
      end("not an HTTP response", false);
    } else if (message instanceof HttpResponse response && response.status().code() != STATUS_OK) {
      // Statuses below 200 are informational, and the final response is still to come.
      if (response.status().code() > STATUS_OK) {
        end("HTTP status " + response.status().code(), false);
      }
    } else if (message instanceof HttpContent content) {
      framer.read(content.content(), this);
      if (message instanceof LastHttpContent && !isClosed) {
        end("ended", false);
      }
    }
  }

  @Override
  public void onObject(String json) {
    listener.onActivity(this);
    listener.onEndpointList(this, json);
  }

  @Override
  public void onLineEnd() {
    listener.onActivity(this);
  }

  @Override
  public void onMalformed(String reason) {
    end(reason, true);
  }

  private void end(String reason, boolean isMalformed) {
    if (!isClosed) {
      close();
      listener.onEnded(this, reason, isMalformed);
    }
  }

  /** Closes the connection. The listener is not called afterwards. Idempotent. */
  @Override
  public void close() {
    isClosed = true;
    framer.close();
    if (context != null) {
      closeChannel();
    }
  }

  private void closeChannel() {
    // The future is not needed: a closed call reports nothing.
    var unused = context.close();
  }
}
