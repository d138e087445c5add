package fawndock.platform;

import fawndock.settings.Address;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.EventExecutor;
import io.vertx.core.Context;
import io.vertx.core.internal.ContextInternal;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Opens and accepts TCP connections with Netty, on Vert.x's event loop. Vert.x's own sockets are
 * not used because they accept without limit on another thread while the event loop is busy, and
 * cost ten times as much per connection. Confined to one event loop.
 */
class TcpTransport {
  private static final int ACCEPT_BACKLOG = 1_024;

  /**
   * Reads of an accepted connection in one turn of the event loop. A client that sends at full
   * speed then holds up others for the commands of two buffers.
   */
  private static final int MAX_READS_PER_TURN = 2;

  /** The event loop that all connections run on. */
  protected final EventLoop eventLoop;

  /** Creates a transport on the event loop of this context. */
  TcpTransport(Context context) {
    eventLoop = ((ContextInternal) context).nettyEventLoop();
  }

  /**
   * Runs a task after the reads of the next turn of the event loop. By then a close that follows
   * bytes read in this turn has been noticed.
   */
  void runAfterReads(Runnable task) {
    runAfterReads(eventLoop, task);
  }

  /** Runs a task after the reads of the next turn of this event loop. */
  static void runAfterReads(EventExecutor eventLoop, Runnable task) {
    eventLoop.execute(
        () -> {
          // The future is not needed: nothing waits for the task, and the event loop logs its
          // exceptions.
          var unused = eventLoop.schedule(task, 0, TimeUnit.NANOSECONDS);
        });
  }

  /**
   * Opens a connection. The future completes in a later turn of the event loop.
   *
   * @param handler handler of the connection, which receives the bytes
   */
  ChannelFuture connect(Address address, long timeoutMicros, ChannelHandler handler) {
    int timeoutMillis = (int) Math.max(1, timeoutMicros / 1_000);
    return new Bootstrap()
        .group(eventLoop)
        .channel(NioSocketChannel.class)
        .handler(handler)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.MESSAGE_SIZE_ESTIMATOR, OutboundBytes.SIZE_ESTIMATOR)
        .connect(new InetSocketAddress(address.host(), address.port()));
  }

  /**
   * Listens at an address. A few connections are accepted in each turn of the event loop.
   *
   * @param handlerFactory creates the handler of each accepted connection
   */
  ChannelFuture listen(Address address, Supplier<ChannelHandler> handlerFactory) {
    return new ServerBootstrap()
        .group(eventLoop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(
            ChannelOption.RCVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(MAX_READS_PER_TURN))
        .childOption(ChannelOption.MESSAGE_SIZE_ESTIMATOR, OutboundBytes.SIZE_ESTIMATOR)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(handlerFactory.get());
              }
            })
        .bind(new InetSocketAddress(address.host(), address.port()));
  }
}
