package fawndock.counter;

import fawndock.settings.Address;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;

/**
 * A connection to a peer, opened on first use and reopened after it is lost. Each reply is a single
 * line, and replies arrive in the order of the commands. Confined to the event loop.
 */
final class PeerConnection implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long RECONNECT_DELAY_NANOS = 100_000_000;
  private static final int MAX_LINE_BYTES = 4_096;
  private static final int MAX_IN_FLIGHT = 512;

  private final Bootstrap bootstrap;
  private final Address address;
  private final String password;
  private final Consumer<Boolean> onConfirmation;
  private final Consumer<String> onReply;
  private final Runnable onLost;

  /** For each command in flight, whether its reply goes to {@code onConfirmation}. */
  private final ArrayDeque<Boolean> inFlight = new ArrayDeque<>();

  private Channel channel;
  private boolean isConnecting;
  private boolean isClosed;
  private long nextConnectNanos = System.nanoTime();

  /**
   * @param onConfirmation receives, for each command sent with confirmation, whether it was
   *     accepted
   * @param onReply receives the reply to each other command
   * @param onLost runs when the connection is lost
   */
  PeerConnection(
      EventLoopGroup eventLoopGroup,
      Address address,
      String password,
      Consumer<Boolean> onConfirmation,
      Consumer<String> onReply,
      Runnable onLost) {
    this.address = address;
    this.password = password;
    this.onConfirmation = onConfirmation;
    this.onReply = onReply;
    this.onLost = onLost;
    bootstrap =
        new Bootstrap()
            .group(eventLoopGroup)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel newChannel) {
                    newChannel
                        .pipeline()
                        .addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES), new ReplyHandler());
                  }
                });
  }

  /** Returns whether a command can be sent now. Starts to connect if there is no connection. */
  boolean isUsable() {
    boolean mayConnect = !isConnecting && !isClosed && System.nanoTime() - nextConnectNanos >= 0;
    if (channel == null && mayConnect) {
      connect();
    }
    return channel != null && channel.isWritable() && inFlight.size() < MAX_IN_FLIGHT;
  }

  private void connect() {
    isConnecting = true;
    // The listener handles the result: a failed connect is retried after the delay.
    var unused =
        bootstrap
            .connect(address.host(), address.port())
            .addListener(
                newChannel -> {
                  isConnecting = false;
                  nextConnectNanos = System.nanoTime() + RECONNECT_DELAY_NANOS;
                });
  }

  Address address() {
    return address;
  }

  /** Closes the connection permanently; no callback runs after this. Idempotent. */
  @Override
  public void close() {
    isClosed = true;
    if (channel != null) {
      var unused = channel.close(); // Nothing remains to be done once the channel is closed.
    }
  }

  /**
   * Sends a command. Must only be called while the connection {@linkplain #isUsable is usable}.
   *
   * @param isConfirmed whether the reply goes to {@code onConfirmation}
   */
  void send(List<String> arguments, boolean isConfirmed) {
    ByteBuf bytes = channel.alloc().buffer(256);
    bytes.writeCharSequence("*" + arguments.size() + "\r\n", StandardCharsets.US_ASCII);
    for (String argument : arguments) {
      byte[] text = argument.getBytes(StandardCharsets.UTF_8);
      bytes.writeCharSequence("$" + text.length + "\r\n", StandardCharsets.US_ASCII);
      bytes.writeBytes(text).writeByte('\r').writeByte('\n');
    }
    inFlight.add(isConfirmed);
    var unused = channel.writeAndFlush(bytes); // A failed write closes the channel.
  }

  private final class ReplyHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      if (isClosed) {
        var unused = context.close(); // The connection was closed while it connected.
        return;
      }
      channel = context.channel();
      inFlight.clear();
      if (!password.isEmpty()) {
        send(List.of("AUTH", password), false);
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
      String text = line.toString(StandardCharsets.UTF_8);
      if (!inFlight.isEmpty() && inFlight.poll()) {
        onConfirmation.accept(!text.isEmpty() && text.charAt(0) != '-');
      } else {
        onReply.accept(text);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (channel == context.channel()) {
        channel = null;
        if (!isClosed) {
          onLost.run();
        }
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      var unused = context.close(); // A new connection is opened, and the peer gets the full state.
    }
  }
}
