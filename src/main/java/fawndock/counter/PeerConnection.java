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
 * The connection to a peer, made when it is first needed and again after it was lost. Used on the
 * event loop. Replies are single lines, in the order of the commands.
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

  /** For each command in flight, whether its sender asked for a confirmation. */
  private final ArrayDeque<Boolean> inFlight = new ArrayDeque<>();

  private Channel channel;
  private boolean isConnecting;
  private boolean isClosed;
  private long nextConnectNanos = System.nanoTime();

  /**
   * @param onConfirmation is called with whether a command that was to be confirmed was accepted
   * @param onReply is called with the reply to each other command
   * @param onLost is called when the connection is lost
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

  /** Whether something can be sent now; begins to connect when there is no connection. */
  boolean isUsable() {
    boolean mayConnect = !isConnecting && !isClosed && System.nanoTime() - nextConnectNanos >= 0;
    if (channel == null && mayConnect) {
      connect();
    }
    return channel != null && channel.isWritable() && inFlight.size() < MAX_IN_FLIGHT;
  }

  private void connect() {
    isConnecting = true;
    // The listener handles the result: a failure is tried again after the delay.
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

  /** Closes it for good; no callback runs after this. May be called again. */
  @Override
  public void close() {
    isClosed = true;
    if (channel != null) {
      var unused = channel.close(); // Nothing is left to do once it is closed.
    }
  }

  /**
   * Sends a command; only while it {@linkplain #isUsable is usable}.
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
    var unused = channel.writeAndFlush(bytes); // A failure closes the channel, which is handled.
  }

  private final class ReplyHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      if (isClosed) {
        var unused = context.close(); // It was closed while it connected.
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
      var unused = context.close(); // The peer is connected to again, and sent the full state.
    }
  }
}
