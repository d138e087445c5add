package fawndock.counter;

import fawndock.memory.PartialMessageMemory;
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
 * Handles one client's connection: reads commands, runs them and writes the replies in the order of
 * the commands. Confined to the event loop.
 *
 * <p>Invariants: the reply to a change is held back until the change's commit group is durable, and
 * so are all replies after it. While too many reply bytes are pending or unread by the client, the
 * connection reads nothing more from the socket.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter
    implements PartialMessageMemory.Holder {
  /** The connection stops reading while more reply bytes than this are pending. */
  static final int MAX_PENDING_REPLY_BYTES = 256 << 10;

  /** Limits one event-loop task, so that a deep pipeline does not starve other connections. */
  private static final int MAX_COMMANDS_PER_TASK = 1_024;

  private static final int INITIAL_BUFFER_BYTES = 256;

  /** Capacity up to which an empty input buffer is kept. */
  private static final int MAX_IDLE_BUFFER_BYTES = 16 << 10;

  private static final int INITIAL_REPLY_BYTES = 1_024;

  /** The replies to send once a commit group is durable. */
  private record PendingReplies(long groupNumber, ByteBuf bytes) {}

  final long id;
  private final CommandExecutor executor;
  private final CommitScheduler commitScheduler;
  private final PartialMessageMemory inputMemory;
  private final CommandReader reader = new CommandReader(CommandReader.Limits.SERVER);
  private final ArrayDeque<PendingReplies> pendingReplies = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private ByteBuf inputBuffer;
  private ByteBuf replyBuffer;
  private ReplyWriter reply;
  private long pendingReplyBytes;
  private boolean isClosing;
  private boolean isProcessingScheduled;

  /**
   * The time since which a command is incomplete or replies are unread; 0 if neither is the case.
   */
  private long stalledSinceNanos;

  /** Whether the client may run all commands. */
  boolean isAuthenticated;

  /** The name that the client has set; empty if it has set none. */
  String name = "";

  /** The open transaction, or null if MULTI was not called. */
  Transaction transaction;

  ClientConnection(
      CommandExecutor executor,
      CommitScheduler commitScheduler,
      PartialMessageMemory inputMemory,
      long id,
      boolean isAuthenticated) {
    this.executor = executor;
    this.commitScheduler = commitScheduler;
    this.inputMemory = inputMemory;
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
    releaseLargeBuffer();
    inputMemory.update(this, heldBytes(), commandCount > 0 && transaction == null);
    context.flush();
    commitScheduler.scheduleCommit();
    updateStalledSince(commandCount);
    context.channel().config().setAutoRead(!isBackpressured() && !isClosing);
    if (commandCount == MAX_COMMANDS_PER_TASK && !isProcessingScheduled) {
      scheduleProcessing();
    }
    closeIfNoRepliesPending();
  }

  /** Replaces the buffer of a long command that has been read. */
  private void releaseLargeBuffer() {
    if (!inputBuffer.isReadable() && inputBuffer.capacity() > MAX_IDLE_BUFFER_BYTES) {
      inputBuffer.release();
      inputBuffer = context.alloc().buffer(INITIAL_BUFFER_BYTES);
    }
  }

  /** Returns the memory of commands that have not run, in bytes; 0 if there is none. */
  private long heldBytes() {
    if (isClosing) {
      return 0;
    }
    return reader.partialCommandBytes()
        + (inputBuffer.isReadable() ? inputBuffer.capacity() : 0)
        + (transaction == null ? 0 : transaction.heldBytes());
  }

  /** Ends the connection with an error after all earlier replies; commands not run are dropped. */
  @Override
  public void onEvicted() {
    failAndClose("ERR no memory for the rest of the command");
  }

  private void failAndClose(String error) {
    transaction = null;
    reader.close();
    inputBuffer.clear();
    replyBuffer.clear();
    reply.error(error);
    ByteBuf immediateReplies = routeReply(0, null);
    if (immediateReplies != null) {
      write(immediateReplies);
    }
    isClosing = true;
    closeIfNoRepliesPending();
  }

  /**
   * Runs up to {@link #MAX_COMMANDS_PER_TASK} buffered commands and writes the replies that need
   * not wait for a commit. Returns the number of commands.
   */
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
    var unused = context.write(bytes); // A failed write closes the channel.
  }

  /**
   * Updates {@link #stalledSinceNanos}. Only an incomplete command counts as stalled: a complete
   * command that waits for capacity of the server is not the client's fault.
   */
  private void updateStalledSince(int commandCount) {
    boolean isIncomplete =
        !isBackpressured()
            && commandCount < MAX_COMMANDS_PER_TASK
            && (reader.hasPartialCommand() || inputBuffer.isReadable());
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
   * Moves the reply in the reply buffer to the immediate replies, or to the pending ones if it has
   * to wait for a commit group. Returns the immediate replies, or null if there are none.
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

  /** Holds back the reply in the reply buffer until its commit group is durable. */
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

  /**
   * Sends the replies that wait for groups up to this one. Returns whether other replies are still
   * pending.
   */
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

  /** Makes the connection accept no more commands, and close once its last reply is sent. */
  void closeAfterReplies() {
    isClosing = true;
  }

  private void closeIfNoRepliesPending() {
    if (isClosing && pendingReplies.isEmpty() && context.channel().isActive()) {
      // The listener closes the channel whether the write succeeds or fails.
      var unused =
          context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
  }

  /**
   * Closes the connection if a command has been incomplete, or replies unread, for longer than the
   * limit.
   */
  void closeIfStalled(long nowNanos, long limitNanos) {
    if (!context.channel().isWritable() && stalledSinceNanos == 0) {
      stalledSinceNanos = nowNanos | 1; // Never 0.
    }
    if (stalledSinceNanos != 0 && nowNanos - stalledSinceNanos > limitNanos) {
      var unused = context.close(); // channelInactive releases the resources.
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    isClosing = true;
    inputMemory.release(this);
    commitScheduler.removeWaitingConnection(this);
    pendingReplies.forEach(replies -> replies.bytes.release());
    pendingReplies.clear();
    inputBuffer.release();
    replyBuffer.release();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    var unused = handlerContext.close(); // channelInactive releases the resources.
  }
}
