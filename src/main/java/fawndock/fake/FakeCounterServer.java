package fawndock.fake;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.IntegerRedisMessage;
import io.netty.handler.codec.redis.RedisArrayAggregator;
import io.netty.handler.codec.redis.RedisBulkStringAggregator;
import io.netty.handler.codec.redis.RedisDecoder;
import io.netty.handler.codec.redis.RedisEncoder;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A fake counter with faults: an in-memory server for the subset of the Redis serialization
 * protocol that a gateway uses. Its totals are doubles. All commands run on one event loop; the
 * public methods may be called from any thread, and {@link #close} may be called more than once.
 */
public final class FakeCounterServer implements AutoCloseable {
  private record Entry(double value, long expiresAtMillis) {}

  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final ChannelGroup clients = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Map<String, Entry> entries = new HashMap<>();
  private Channel listener;
  private int port;
  private volatile boolean isUnresponsive;
  private volatile boolean isRejecting;
  private volatile long delayMillis;
  private long addCount;

  /** Starts listening; the port stays the same after each restart. */
  public FakeCounterServer start() throws InterruptedException {
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    clients.add(channel);
                    channel
                        .pipeline()
                        .addLast(
                            new RedisDecoder(),
                            new RedisBulkStringAggregator(),
                            new RedisArrayAggregator(),
                            new RedisEncoder(),
                            new CommandHandler());
                  }
                })
            .bind("127.0.0.1", port)
            .sync()
            .channel();
    port = ((java.net.InetSocketAddress) listener.localAddress()).getPort();
    return this;
  }

  public int port() {
    return port;
  }

  /** While enabled, executes commands but sends no replies. */
  public void setUnresponsive(boolean enabled) {
    isUnresponsive = enabled;
  }

  /** While enabled, replies to every command with an error and does not execute it. */
  public void setRejecting(boolean enabled) {
    isRejecting = enabled;
  }

  /** Sets the delay of each reply. */
  public void setDelayMillis(long millis) {
    delayMillis = millis;
  }

  /** Reduces every count by a fraction; 1 removes all counts. */
  public void discardFraction(double fraction) {
    group
        .submit(
            () -> {
              if (fraction >= 1) {
                entries.clear();
              } else {
                entries.replaceAll(
                    (name, e) -> new Entry(e.value() * (1 - fraction), e.expiresAtMillis()));
              }
            })
        .syncUninterruptibly();
  }

  /** Closes every connection and stops listening until the next start. */
  public void stop() {
    listener.close().syncUninterruptibly();
    clients.close().syncUninterruptibly();
  }

  /** Returns the number of additions executed so far. */
  public long addCount() {
    long[] result = new long[1];
    group.submit(() -> result[0] = addCount).syncUninterruptibly();
    return result[0];
  }

  @Override
  public void close() {
    stop();
    // Not awaited: the only thread, which is no daemon, terminates within a second.
    var unused = group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private final class CommandHandler extends SimpleChannelInboundHandler<ArrayRedisMessage> {
    private final java.util.ArrayDeque<RedisMessage> pendingReplies = new java.util.ArrayDeque<>();
    private long readyAtNanos = System.nanoTime();

    @Override
    protected void channelRead0(ChannelHandlerContext context, ArrayRedisMessage message) {
      List<String> words =
          message.children().stream()
              .map(m -> ((FullBulkStringRedisMessage) m).content().toString(StandardCharsets.UTF_8))
              .toList();
      RedisMessage reply = execute(words);
      if (isUnresponsive) {
        return;
      }
      // Replies keep the order of their commands even when the delay is reduced.
      long now = System.nanoTime();
      readyAtNanos = Math.max(readyAtNanos, now + delayMillis * 1_000_000);
      pendingReplies.add(reply);
      if (readyAtNanos > now) {
        var unused = // Not awaited: the channel reports failures.
            context
                .executor()
                .schedule(
                    () -> {
                      var unusedWrite = context.writeAndFlush(pendingReplies.poll());
                    },
                    readyAtNanos - now,
                    TimeUnit.NANOSECONDS);
      } else {
        var unused = context.writeAndFlush(pendingReplies.poll()); // A failure closes the channel.
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      var unused = context.close(); // Not awaited: no further action follows.
    }
  }

  private RedisMessage execute(List<String> words) {
    String command = words.get(0).toUpperCase(Locale.ROOT);
    if (isRejecting) {
      return new ErrorRedisMessage("ERR refused for a drill");
    }
    long now = System.currentTimeMillis();
    return switch (command) {
      case "PING" -> new SimpleStringRedisMessage("PONG");
      case "INCRBYFLOAT" -> {
        Entry entry = entries.get(words.get(1));
        if (entry == null || entry.expiresAtMillis() <= now) {
          entry = new Entry(0, Long.MAX_VALUE);
        }
        addCount++;
        entry =
            new Entry(entry.value() + Double.parseDouble(words.get(2)), entry.expiresAtMillis());
        entries.put(words.get(1), entry);
        yield new FullBulkStringRedisMessage(
            io.netty.buffer.Unpooled.copiedBuffer(
                Double.toString(entry.value()), StandardCharsets.UTF_8));
      }
      case "PEXPIRE" -> {
        Entry entry = entries.get(words.get(1));
        boolean isSet = entry != null && entry.expiresAtMillis() == Long.MAX_VALUE;
        if (isSet) {
          entries.put(words.get(1), new Entry(entry.value(), now + Long.parseLong(words.get(2))));
        }
        entries.values().removeIf(e -> entries.size() > 10_000 && e.expiresAtMillis() <= now);
        yield new IntegerRedisMessage(isSet ? 1 : 0);
      }
      default -> new ErrorRedisMessage("ERR unknown command '" + words.get(0) + "'");
    };
  }
}
