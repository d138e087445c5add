package fawndock.counter;

import fawndock.resp.CommandReader;
import fawndock.resp.ProtocolException;
import fawndock.resp.ReplyWriter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;

/**
 * One client's connection: commands in, replies out in their order. Used on the event loop.
 *
 * <p>Invariants: the reply to a change waits until its group is durable, and the replies after it
 * wait with it; while replies wait or are not read, nothing more is taken from the socket.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
  /** Bytes of waiting replies beyond which nothing more is read. */
  static final int MAX_PENDING_REPLY_BYTES = 256 << 10;

  /** Commands done in one turn, so that a deep pipeline does not keep the others waiting. */
  private static final int MAX_COMMANDS_PER_TURN = 1_024;

  private static final int INITIAL_BUFFER_BYTES = 256;
  private static final int INITIAL_REPLY_BYTES = 1_024;

  /** Replies that go out once a group is durable. */
  private record PendingReplies(long group, ByteBuf bytes) {}

  final long id;
  private final CommandExecutor executor;
  private final CommitScheduler scheduler;
  private final CommandReader reader = new CommandReader(CommandReader.Limits.SERVER);
  private final ArrayDeque<PendingReplies> pendingReplies = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private ByteBuf input;
  private ByteBuf scratch;
  private ReplyWriter reply;
  private long pendingReplyBytes;
  private boolean isClosing;
  private boolean isTurnScheduled;

  /** Since when a command is incomplete, or replies are unread; 0 when neither is. */
  private long stalledSinceNanos;

  /** Whether it may run all commands. */
  boolean isAuthenticated;

  /** As the client has named itself; empty for none. */
  String name = "";

  /** The commands since MULTI, or null outside a transaction. */
  Transaction transaction;

  ClientConnection(
      CommandExecutor executor, CommitScheduler scheduler, long id, boolean isAuthenticated) {
    this.executor = executor;
    this.scheduler = scheduler;
    this.id = id;
    this.isAuthenticated = isAuthenticated;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handler) {
    context = handler;
    input = handler.alloc().buffer(INITIAL_BUFFER_BYTES);
    scratch = handler.alloc().buffer(INITIAL_BUFFER_BYTES);
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
    int commandCount = runCommands();
    context.flush();
    scheduler.commitSoon();
    updateStall(commandCount);
    context.channel().config().setAutoRead(!isBackpressured() && !isClosing);
    if (commandCount == MAX_COMMANDS_PER_TURN && !isTurnScheduled) {
      scheduleTurn();
    }
    closeIfDone();
  }

  /** Runs what has arrived, a turn's worth at most, and writes the replies that need not wait. */
  private int runCommands() {
    long nowMillis = executor.nowMillis();
    ByteBuf direct = null;
    int commandCount = 0;
    try {
      while (!isClosing && !isBackpressured() && commandCount < MAX_COMMANDS_PER_TURN) {
        byte[][] words = reader.next(input);
        if (words == null) {
          break;
        }
        commandCount++;
        scratch.clear();
        long group = executor.run(words, reply, this, nowMillis);
        direct = routeReply(group, direct);
        if (direct != null && direct.readableBytes() > MAX_PENDING_REPLY_BYTES) {
          write(direct);
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
      write(direct);
    }
    return commandCount;
  }

  private void write(ByteBuf bytes) {
    var unused = context.write(bytes); // A failure closes the channel, which is handled.
  }

  /**
   * Only a command that is itself incomplete is stalled: one that waits for capacity here is not
   * the client's fault.
   */
  private void updateStall(int commandCount) {
    boolean isIncomplete =
        !isBackpressured()
            && commandCount < MAX_COMMANDS_PER_TURN
            && (reader.hasPartialCommand() || input.isReadable());
    if (!isIncomplete) {
      stalledSinceNanos = 0;
    } else if (commandCount > 0 || stalledSinceNanos == 0) {
      stalledSinceNanos = System.nanoTime() | 1; // Never 0.
    }
  }

  private void scheduleTurn() {
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

  /**
   * Takes the reply in scratch: to what goes out at once, or to what waits for the group; returns
   * the former.
   */
  private ByteBuf routeReply(long group, ByteBuf direct) {
    if (group != 0 || !pendingReplies.isEmpty()) {
      addPending(group);
      return direct;
    }
    ByteBuf target = direct == null ? context.alloc().buffer(INITIAL_REPLY_BYTES) : direct;
    return target.writeBytes(scratch);
  }

  /** Keeps the reply in scratch until its group is durable. */
  private void addPending(long group) {
    long last = pendingReplies.isEmpty() ? 0 : pendingReplies.peekLast().group;
    if (pendingReplies.isEmpty() || group > last) {
      ByteBuf bytes = context.alloc().buffer(INITIAL_REPLY_BYTES);
      pendingReplies.add(new PendingReplies(Math.max(group, last), bytes));
      scheduler.addWaiting(this);
    }
    pendingReplies.peekLast().bytes.writeBytes(scratch);
    pendingReplyBytes += scratch.readableBytes();
  }

  /** Sends what waited for groups up to this one; returns whether more waits. */
  boolean releaseUpTo(long group) {
    boolean wasBackpressured = isBackpressured();
    boolean hasWritten = false;
    while (!pendingReplies.isEmpty() && pendingReplies.peek().group <= group) {
      ByteBuf bytes = pendingReplies.poll().bytes;
      pendingReplyBytes -= bytes.readableBytes();
      write(bytes);
      hasWritten = true;
    }
    if (hasWritten) {
      context.flush();
    }
    if (wasBackpressured && !isBackpressured()) {
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

  /** Takes no more commands and closes when the last reply has gone. */
  void closeAfterReplies() {
    isClosing = true;
  }

  private void closeIfDone() {
    if (isClosing && pendingReplies.isEmpty() && context.channel().isActive()) {
      // The listener closes it, whether the write succeeded or not.
      var unused =
          context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
  }

  /** Closes when a command has been incomplete, or replies unread, for longer than the limit. */
  void closeIfStalled(long nowNanos, long limitNanos) {
    if (!context.channel().isWritable() && stalledSinceNanos == 0) {
      stalledSinceNanos = nowNanos | 1; // Never 0.
    }
    if (stalledSinceNanos != 0 && nowNanos - stalledSinceNanos > limitNanos) {
      var unused = context.close(); // channelInactive does the rest.
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handler) {
    isClosing = true;
    scheduler.removeWaiting(this);
    pendingReplies.forEach(each -> each.bytes.release());
    pendingReplies.clear();
    input.release();
    scratch.release();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handler, Throwable cause) {
    var unused = handler.close(); // channelInactive does the rest.
  }
}
