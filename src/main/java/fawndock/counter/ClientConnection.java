package fawndock.counter;

import fawndock.resp.CommandReader;
import fawndock.resp.ProtocolException;
import fawndock.resp.ReplyWriter;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;

/**
 * One connection: commands in, answers out in their order. An answer to a change waits for its
 * group to be durable, and the answers after it wait with it. When answers wait or are not read, no
 * more is taken from the socket.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
  /** Bytes of waiting answers beyond which nothing more is read. */
  static final int MAX_PENDING_REPLY_BYTES = 256 << 10;

  /** Commands done in one turn, so that a deep pipeline does not keep the others waiting. */
  private static final int MAX_COMMANDS_PER_TURN = 1_024;

  private record PendingReplies(long group, ByteBuf answers) {}

  final long id;
  final CommandExecutor engine;
  private final CommandReader reader = new CommandReader(CommandReader.Limits.SERVER);
  private final ArrayDeque<PendingReplies> pendingReplies = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private ByteBuf input;
  private ByteBuf scratch;
  private ReplyWriter reply;
  private long pendingReplyBytes;
  private boolean isClosing;
  private boolean isTurnScheduled;
  private long stalledSinceNanos;
  boolean isAuthenticated;
  String name = "";
  Transaction transaction;

  ClientConnection(CommandExecutor engine, long id) {
    this.engine = engine;
    this.id = id;
    isAuthenticated = engine.open();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handler) {
    context = handler;
    input = handler.alloc().buffer(256);
    scratch = handler.alloc().buffer(256);
    reply = new ReplyWriter(scratch);
  }

  @Override
  public void channelRead(ChannelHandlerContext handler, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    if (isClosing) {
      bytes.release();
      return;
    }
    input.discardSomeReadBytes().writeBytes(bytes);
    bytes.release();
    process();
  }

  private boolean isBackpressured() {
    return pendingReplyBytes > MAX_PENDING_REPLY_BYTES || !context.channel().isWritable();
  }

  private void process() {
    long now = engine.now();
    ByteBuf direct = null;
    int many = 0;
    try {
      while (!isClosing && !isBackpressured() && many < MAX_COMMANDS_PER_TURN) {
        byte[][] words = reader.next(input);
        if (words == null) {
          break;
        }
        many++;
        scratch.clear();
        long group = engine.run(words, reply, this, now);
        direct = routeReply(group, direct);
        if (direct != null && direct.readableBytes() > MAX_PENDING_REPLY_BYTES) {
          context.write(direct);
          direct = null;
        }
      }
    } catch (ProtocolException e) {
      scratch.clear();
      reply.error(e.getMessage());
      direct = routeReply(0, direct);
      isClosing = true;
    }
    if (direct != null) {
      context.write(direct);
    }
    context.flush();
    engine.pumpSoon();
    // Only a command that is itself incomplete is stalled: one that waits for room here is not the
    // client's fault.
    boolean incomplete =
        !isBackpressured()
            && many < MAX_COMMANDS_PER_TURN
            && (reader.isWithinCommand() || input.isReadable());
    stalledSinceNanos =
        !incomplete
            ? 0
            : many > 0 || stalledSinceNanos == 0 ? System.nanoTime() | 1 : stalledSinceNanos;
    context.channel().config().setAutoRead(!isBackpressured() && !isClosing);
    if (many == MAX_COMMANDS_PER_TURN && !isTurnScheduled) {
      isTurnScheduled = true;
      context
          .executor()
          .execute(
              () -> {
                isTurnScheduled = false;
                if (context.channel().isActive()) {
                  process();
                }
              });
    }
    closeIfDone();
  }

  /**
   * Takes the answer in scratch: to what goes out at once, or to what waits for the group; returns
   * the former.
   */
  private ByteBuf routeReply(long group, ByteBuf direct) {
    if (group != 0 || !pendingReplies.isEmpty()) {
      addPending(group);
      return direct;
    }
    return (direct == null ? context.alloc().buffer(1_024) : direct).writeBytes(scratch);
  }

  /** Keeps the answer in scratch until its group is durable. */
  private void addPending(long group) {
    long last = pendingReplies.isEmpty() ? 0 : pendingReplies.peekLast().group;
    if (pendingReplies.isEmpty() || group > last) {
      pendingReplies.add(new PendingReplies(Math.max(group, last), context.alloc().buffer(1_024)));
      engine.waits(this);
    }
    pendingReplies.peekLast().answers.writeBytes(scratch);
    pendingReplyBytes += scratch.readableBytes();
  }

  /** Sends what waited for groups up to this one; whether more waits. */
  boolean releaseUpTo(long group) {
    boolean was = isBackpressured();
    boolean any = false;
    while (!pendingReplies.isEmpty() && pendingReplies.peek().group <= group) {
      ByteBuf answers = pendingReplies.poll().answers;
      pendingReplyBytes -= answers.readableBytes();
      context.write(answers);
      any = true;
    }
    if (any) {
      context.flush();
    }
    if (was && !isBackpressured()) {
      process();
    }
    closeIfDone();
    return !pendingReplies.isEmpty();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext handler) {
    if (handler.channel().isWritable() && !handler.channel().config().isAutoRead()) {
      process();
    }
  }

  /** Takes no more commands and closes when the last answer has gone. */
  void closeAfterReplies() {
    isClosing = true;
  }

  private void closeIfDone() {
    if (isClosing && pendingReplies.isEmpty() && context.channel().isActive()) {
      context
          .writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER)
          .addListener(ChannelFutureListener.CLOSE);
    }
  }

  /** Closes when a command has been half here, or answers unread, for longer than this. */
  void closeIfStalled(long now, long limitNanos) {
    if (!context.channel().isWritable()) {
      stalledSinceNanos = stalledSinceNanos == 0 ? now | 1 : stalledSinceNanos;
    }
    if (stalledSinceNanos != 0 && now - stalledSinceNanos > limitNanos) {
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handler) {
    isClosing = true;
    engine.gone(this);
    pendingReplies.forEach(h -> h.answers.release());
    pendingReplies.clear();
    input.release();
    scratch.release();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handler, Throwable cause) {
    handler.close();
  }
}
