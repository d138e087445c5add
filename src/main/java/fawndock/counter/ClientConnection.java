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
  private static final int MAX_COMMANDS_PER_TASK = 1_024;

  private static final int INITIAL_BUFFER_BYTES = 256;
  private static final int INITIAL_REPLY_BYTES = 1_024;

  /** Replies that go out once a group is durable. */
  private record PendingReplies(long groupNumber, ByteBuf bytes) {}

  final long id;
  private final CommandExecutor executor;
  private final CommitScheduler commitScheduler;
  private final CommandReader reader = new CommandReader(CommandReader.Limits.SERVER);
  private final ArrayDeque<PendingReplies> pendingReplies = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private ByteBuf inputBuffer;
  private ByteBuf replyBuffer;
  private ReplyWriter reply;
  private long pendingReplyBytes;
  private boolean isClosing;
  private boolean isProcessingScheduled;

  /** Since when a command is incomplete, or replies are unread; 0 when neither is. */
  private long stalledSinceNanos;

  /** Whether it may run all commands. */
  boolean isAuthenticated;

  /** As the client has named itself; empty for none. */
  String name = "";

  /** The commands since MULTI, or null outside a transaction. */
  Transaction transaction;

  ClientConnection(
      CommandExecutor executor, CommitScheduler commitScheduler, long id, boolean isAuthenticated) {
    this.executor = executor;
    this.commitScheduler = commitScheduler;
    this.id = id;
    this.isAuthenticated = isAuthenticated;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    context = handlerContext;
    inputBuffer = handlerContext.alloc().buffer(INITIAL_BUFFER_BYTES);
    replyBuffer = handlerContext.alloc().buffer(INITIAL_BUFFER_BYTES);
    reply = new ReplyWriter(replyBuffer);
  }

  @Override
  public void channelRead(ChannelHandlerContext handlerContext, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    if (isClosing) {
      bytes.release();
      return;
    }
    inputBuffer.discardSomeReadBytes().writeBytes(bytes);
    bytes.release();
    process();
  }

  private boolean isBackpressured() {
    return pendingReplyBytes > MAX_PENDING_REPLY_BYTES || !context.channel().isWritable();
  }

  private void process() {
    int commandCount = runCommands();
    context.flush();
    commitScheduler.scheduleCommit();
    updateStalledSince(commandCount);
    context.channel().config().setAutoRead(!isBackpressured() && !isClosing);
    if (commandCount == MAX_COMMANDS_PER_TASK && !isProcessingScheduled) {
      scheduleProcessing();
    }
    closeIfNoRepliesPending();
  }

  /** Runs what has arrived, a turn's worth at most, and writes the replies that need not wait. */
  private int runCommands() {
    long nowMillis = executor.nowMillis();
    ByteBuf immediateReplies = null;
    int commandCount = 0;
    try {
      while (!isClosing && !isBackpressured() && commandCount < MAX_COMMANDS_PER_TASK) {
        byte[][] arguments = reader.next(inputBuffer);
        if (arguments == null) {
          break;
        }
        commandCount++;
        replyBuffer.clear();
        long groupNumber = executor.run(arguments, reply, this, nowMillis);
        immediateReplies = routeReply(groupNumber, immediateReplies);
        if (immediateReplies != null
            && immediateReplies.readableBytes() > MAX_PENDING_REPLY_BYTES) {
          write(immediateReplies);
          immediateReplies = null;
        }
      }
    } catch (ProtocolException e) {
      replyBuffer.clear();
      reply.error(e.getMessage());
      immediateReplies = routeReply(0, immediateReplies);
      isClosing = true;
    }
    if (immediateReplies != null) {
      write(immediateReplies);
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
  private void updateStalledSince(int commandCount) {
    boolean isIncomplete =
        !isBackpressured()
            && commandCount < MAX_COMMANDS_PER_TASK
            && (reader.isWithinCommand() || inputBuffer.isReadable());
    if (!isIncomplete) {
      stalledSinceNanos = 0;
    } else if (commandCount > 0 || stalledSinceNanos == 0) {
      stalledSinceNanos = System.nanoTime() | 1; // Never 0.
    }
  }

  private void scheduleProcessing() {
    isProcessingScheduled = true;
    context
        .executor()
        .execute(
            () -> {
              isProcessingScheduled = false;
              if (context.channel().isActive()) {
                process();
              }
            });
  }

  /**
   * Takes the reply in scratch: to what goes out at once, or to what waits for the group; returns
   * the former.
   */
  private ByteBuf routeReply(long groupNumber, ByteBuf immediateReplies) {
    if (groupNumber != 0 || !pendingReplies.isEmpty()) {
      addPending(groupNumber);
      return immediateReplies;
    }
    ByteBuf target =
        immediateReplies == null ? context.alloc().buffer(INITIAL_REPLY_BYTES) : immediateReplies;
    return target.writeBytes(replyBuffer);
  }

  /** Keeps the reply in scratch until its group is durable. */
  private void addPending(long groupNumber) {
    long lastGroupNumber = pendingReplies.isEmpty() ? 0 : pendingReplies.peekLast().groupNumber;
    if (pendingReplies.isEmpty() || groupNumber > lastGroupNumber) {
      ByteBuf bytes = context.alloc().buffer(INITIAL_REPLY_BYTES);
      pendingReplies.add(new PendingReplies(Math.max(groupNumber, lastGroupNumber), bytes));
      commitScheduler.addWaitingConnection(this);
    }
    pendingReplies.peekLast().bytes.writeBytes(replyBuffer);
    pendingReplyBytes += replyBuffer.readableBytes();
  }

  /** Sends what waited for groups up to this one; returns whether more waits. */
  boolean releaseReplies(long groupNumber) {
    boolean wasBackpressured = isBackpressured();
    boolean hasWritten = false;
    while (!pendingReplies.isEmpty() && pendingReplies.peek().groupNumber <= groupNumber) {
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
    closeIfNoRepliesPending();
    return !pendingReplies.isEmpty();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
    if (handlerContext.channel().isWritable() && !handlerContext.channel().config().isAutoRead()) {
      process();
    }
  }

  /** Takes no more commands and closes when the last reply has gone. */
  void closeAfterReplies() {
    isClosing = true;
  }

  private void closeIfNoRepliesPending() {
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
  public void channelInactive(ChannelHandlerContext handlerContext) {
    isClosing = true;
    commitScheduler.removeWaitingConnection(this);
    pendingReplies.forEach(replies -> replies.bytes.release());
    pendingReplies.clear();
    inputBuffer.release();
    replyBuffer.release();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    var unused = handlerContext.close(); // channelInactive does the rest.
  }
}
