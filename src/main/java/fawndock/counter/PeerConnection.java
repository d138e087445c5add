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
 * The connection to another node, on the event loop; made again when it is lost. Answers are single
 * lines.
 */
final class PeerConnection {
  private static final int CONNECT_MILLIS = 1_000;
  private static final long PAUSE_NANOS = 100_000_000;
  private static final int LONGEST_LINE = 4_096;
  private static final int MOST_OUT = 512;

  private final Bootstrap bootstrap;
  private final Address address;
  private final String password;
  private final Consumer<Boolean> answered;
  private final Consumer<String> beaten;
  private final Runnable lost;

  /** For each command that is out, whether its answer is waited for. */
  private final ArrayDeque<Boolean> out = new ArrayDeque<>();

  private Channel channel;
  private boolean connecting;
  private boolean closed;
  private long tryAt = System.nanoTime();

  /**
   * A connection that is made when it is first asked for.
   *
   * @param answered told when what was to be confirmed was, or was refused
   * @param beaten told the answer to what was not to be confirmed
   * @param lost told when the connection is lost
   */
  PeerConnection(
      EventLoopGroup group,
      Address address,
      String password,
      Consumer<Boolean> answered,
      Consumer<String> beaten,
      Runnable lost) {
    this.address = address;
    this.password = password;
    this.answered = answered;
    this.beaten = beaten;
    this.lost = lost;
    bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel made) {
                    made.pipeline().addLast(new LineBasedFrameDecoder(LONGEST_LINE), new Answers());
                  }
                });
  }

  /** Whether something can be sent now; begins to connect when there is no connection. */
  boolean usable() {
    if (channel == null && !connecting && !closed && System.nanoTime() - tryAt >= 0) {
      connecting = true;
      bootstrap
          .connect(address.host(), address.port())
          .addListener(
              made -> {
                connecting = false;
                tryAt = System.nanoTime() + PAUSE_NANOS;
              });
    }
    return channel != null && channel.isWritable() && out.size() < MOST_OUT;
  }

  Address address() {
    return address;
  }

  /** Ends it for good; nothing is told after this. */
  void close() {
    closed = true;
    if (channel != null) {
      channel.close();
    }
  }

  void send(List<String> words, boolean confirmed) {
    ByteBuf bytes = channel.alloc().buffer(256);
    bytes.writeCharSequence("*" + words.size() + "\r\n", StandardCharsets.US_ASCII);
    for (String word : words) {
      byte[] text = word.getBytes(StandardCharsets.UTF_8);
      bytes.writeCharSequence("$" + text.length + "\r\n", StandardCharsets.US_ASCII);
      bytes.writeBytes(text).writeByte('\r').writeByte('\n');
    }
    out.add(confirmed);
    channel.writeAndFlush(bytes);
  }

  private final class Answers extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      if (closed) {
        context.close();
        return;
      }
      channel = context.channel();
      out.clear();
      if (!password.isEmpty()) {
        send(List.of("AUTH", password), false);
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
      String text = line.toString(StandardCharsets.UTF_8);
      if (!out.isEmpty() && out.poll()) {
        answered.accept(!text.isEmpty() && text.charAt(0) != '-');
      } else {
        beaten.accept(text);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (channel == context.channel()) {
        channel = null;
        if (!closed) {
          lost.run();
        }
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
