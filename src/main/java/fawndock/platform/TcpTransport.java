package fawndock.platform;

import fawndock.settings.Address;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vertx.core.Context;
import io.vertx.core.internal.ContextInternal;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Opens and accepts TCP connections on Vert.x's event loop by Netty beneath it. Vert.x is in the
 * way here: it accepts on a thread of its own, without limit while the loop is held up, and a
 * connection of its own costs ten times as much. What is accepted here is accepted on the one loop,
 * a few at a time.
 */
class TcpTransport {
  private static final int BACKLOG = 1_024;

  /** The loop of all of them. */
  protected final EventLoop eventLoop;

  /** On the loop of this context. */
  TcpTransport(Context context) {
    eventLoop = ((ContextInternal) context).nettyEventLoop();
  }

  /**
   * Runs something after all that has come by now has been taken in: after the reads of the next
   * turn, as a close stands behind the bytes that were read in this one.
   */
  void runAfterReads(Runnable what) {
    eventLoop.execute(() -> eventLoop.schedule(what, 0, TimeUnit.NANOSECONDS));
  }

  /** Connects; the handler takes the bytes. The future ends in a later turn of the loop. */
  ChannelFuture connect(Address address, long limitMicros, ChannelHandler handler) {
    return new Bootstrap()
        .group(eventLoop)
        .channel(NioSocketChannel.class)
        .handler(handler)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, limitMicros / 1_000))
        .option(ChannelOption.TCP_NODELAY, true)
        .connect(new InetSocketAddress(address.host(), address.port()));
  }

  /** Listens; a new handler takes the bytes of each connection that is accepted. */
  ChannelFuture listen(Address address, Supplier<ChannelHandler> handlers) {
    return new ServerBootstrap()
        .group(eventLoop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(handlers.get());
              }
            })
        .bind(new InetSocketAddress(address.host(), address.port()));
  }
}
