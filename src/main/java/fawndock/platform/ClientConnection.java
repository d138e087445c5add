package fawndock.platform;

import fawndock.memory.PartialMessageMemory;
import fawndock.resp.CommandReader;
import fawndock.resp.ProtocolException;
import fawndock.resp.ReplyWriter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;

/**
 * One client's connection: reads commands and writes their responses in the same order. After a
 * protocol error the client gets an error reply after all pending responses, and no further command
 * is read. Confined to one event loop.
 */
final class ClientConnection extends ByteConnection
    implements ResponseQueue.Output, PartialMessageMemory.Holder {
  /** Maximum number of commands in flight on one connection; further ones are refused. */
  private static final int MAX_PENDING_RESPONSES = 64;

  /**
   * Number of bytes buffered from a client that does not read its responses. Further bytes stay in
   * the socket until it does.
   */
  private static final int MAX_BUFFERED_BYTES = 128 << 10;

  private static final CommandReader.Limits COMMAND_LIMITS =
      new CommandReader.Limits(66 << 10, 8, 0);

  /** Value of the timestamps below while their condition does not hold. */
  private static final long NEVER = 0;

  private final ClientListener listener;
  private final CommandReader reader = new CommandReader(COMMAND_LIMITS);
  private final ResponseQueue responses;

  /** Time at which the connection was accepted or last wrote a response. */
  private long idleSinceMicros;

  /** Time at which the incomplete command began. */
  private long incompleteSinceMicros = NEVER;

  /** Time at which the client stopped reading its responses. */
  private long unwritableSinceMicros = NEVER;

  /** Whether an error has made the rest of the client's bytes unusable. */
  private boolean hasFailed;

  private boolean hasSentCommand;

  /** Whether a whole command has been read since the memory of incomplete ones was counted. */
  private boolean hasReadSinceRetained;

  private boolean isReadingCommands;
  private boolean isFlushing;
  private boolean isDisconnectHandled;

  ClientConnection(ClientListener listener) {
    this.listener = listener;
    responses = new ResponseQueue(listener.responseMemory(), this, listener::release);
    idleSinceMicros = listener.nowMicros();
  }

  @Override
  public void channelActive(ChannelHandlerContext handlerContext) {
    listener.onAccepted(this);
  }

  @Override
  void onBytes(ByteBuf in) {
    boolean hasReadCommand = readCommands(in);
    if (hasFailed) {
      in.skipBytes(in.readableBytes());
    }
    updateIncompleteSince(in, hasReadCommand);
    hasReadSinceRetained |= hasReadCommand;
    flushResponses();
  }

  @Override
  void onRetained() {
    updateReading();
    long bytes = isClosed() ? 0 : reader.partialCommandBytes() + retainedBytes();
    boolean hasProgressed = hasReadSinceRetained;
    hasReadSinceRetained = false;
    listener.commandMemory().update(this, bytes, hasProgressed);
  }

  /**
   * Bytes are read even while the client does not read its responses, so that a disconnect is
   * noticed. Commands are not processed meanwhile.
   */
  private void updateReading() {
    if (!isClosed()) {
      setReading(unwritableSinceMicros == NEVER || retainedBytes() <= MAX_BUFFERED_BYTES);
    }
  }

  @Override
  public void onEvicted() {
    fail(PlatformProtocol.ERROR_NO_COMMAND_MEMORY);
  }

  /** Processes all complete commands; returns whether there were any. */
  private boolean readCommands(ByteBuf in) {
    boolean hasReadCommand = false;
    isReadingCommands = true;
    try {
      for (byte[][] arguments = nextCommand(in); arguments != null; arguments = nextCommand(in)) {
        hasReadCommand = true;
        if (responses.size() >= MAX_PENDING_RESPONSES) {
          responses.addRefusal();
        } else {
          onCommand(arguments);
        }
      }
    } catch (ProtocolException e) {
      fail(e.getMessage());
    }
    isReadingCommands = false;
    return hasReadCommand;
  }

  private byte[][] nextCommand(ByteBuf in) throws ProtocolException {
    boolean canRead = !hasFailed && unwritableSinceMicros == NEVER && !isClosed();
    return canRead ? reader.next(in) : null;
  }

  private void updateIncompleteSince(ByteBuf in, boolean hasReadCommand) {
    boolean isIncomplete =
        !hasFailed
            && unwritableSinceMicros == NEVER
            && (reader.hasPartialCommand() || in.isReadable());
    if (!isIncomplete) {
      incompleteSinceMicros = NEVER;
    } else if (hasReadCommand || incompleteSinceMicros == NEVER) {
      incompleteSinceMicros = listener.nowMicros();
    }
  }

  private void onCommand(byte[][] arguments) {
    hasSentCommand = true;
    ResponseQueue.Slot slot = responses.addSlot();
    if (ClientCommandParser.isRequest(arguments[0])) {
      onRequest(arguments, slot);
    } else if (arguments.length == 1
        && ClientCommandParser.matchesIgnoreCase(arguments[0], PlatformProtocol.COMMAND_PING)) {
      ByteBuf out = Unpooled.buffer(8);
      new ReplyWriter(out).simpleString(PlatformProtocol.REPLY_PONG);
      slot.respond(out);
    } else {
      slot.respondError(PlatformProtocol.ERROR_UNKNOWN_COMMAND);
    }
  }

  private void onRequest(byte[][] arguments, ResponseQueue.Slot slot) {
    try {
      ClientCommand command = listener.parser().parse(arguments, listener.nowMicros());
      String error = listener.admissionError(command, slot.isQueued());
      if (error != null) {
        slot.respondError(error);
        return;
      }
      ClientExchange exchange = new ClientExchange(command, slot, this::isBacklogged);
      slot.setExchange(exchange);
      slot.setRequestId(listener.submit(exchange));
    } catch (InvalidCommandException e) {
      slot.respondError(e.getMessage());
    }
  }

  /** Responds with an error after all pending responses, and then closes the connection. */
  private void fail(String error) {
    ResponseQueue.Slot slot = responses.addSlot();
    hasFailed = true;
    incompleteSinceMicros = NEVER;
    reader.close();
    discardBufferedBytes();
    slot.respondError(error);
  }

  /** Writes the responses that wait for no earlier one, unless the client does not read. */
  private void flushResponses() {
    if (isReadingCommands || isFlushing || isClosed()) {
      return;
    }
    // A write may change the writability, which is reported before it returns.
    isFlushing = true;
    if (responses.writeReady()) {
      idleSinceMicros = listener.nowMicros();
    }
    isFlushing = false;
    if (!isWritable() && unwritableSinceMicros == NEVER) {
      unwritableSinceMicros = listener.nowMicros();
    }
    boolean isDrained = listener.isDraining() && isQuiescent();
    if (responses.isEmpty() && (hasFailed || isDrained)) {
      closeGracefully();
    }
  }

  @Override
  public void onResponse() {
    flushResponses();
  }

  @Override
  public void write(ByteBuf bytes, Runnable onDone) {
    send(bytes).addListener(done -> onDone.run());
  }

  /** Returns whether no response is pending and no byte of another command has been received. */
  private boolean isQuiescent() {
    return responses.isEmpty() && incompleteSinceMicros == NEVER && !hasBufferedBytes();
  }

  /** Returns whether the connection has been quiescent for at least this time. */
  boolean isIdle(long nowMicros, long minIdleMicros) {
    return isQuiescent() && nowMicros - idleSinceMicros >= minIdleMicros;
  }

  boolean hasSentCommand() {
    return hasSentCommand;
  }

  boolean hasPendingResponses() {
    return !responses.isEmpty();
  }

  /** Closes the connection if it exceeds one of the listener's timeouts. */
  void checkTimeouts(long nowMicros) {
    boolean isFirstCommandOverdue =
        !hasSentCommand && isIdle(nowMicros, ClientListener.COMMAND_TIMEOUT_MICROS);
    if (hasElapsed(nowMicros, unwritableSinceMicros, listener.unreadResponseTimeoutMicros())) {
      closeGracefully(LINGER_TIMEOUT_MICROS);
    } else if (isFirstCommandOverdue || isIdle(nowMicros, listener.idleTimeoutMicros())) {
      closeGracefully();
    } else if (hasElapsed(
        nowMicros, incompleteSinceMicros, ClientListener.COMMAND_TIMEOUT_MICROS)) {
      fail(PlatformProtocol.ERROR_INCOMPLETE_COMMAND);
    }
  }

  private static boolean hasElapsed(long nowMicros, long sinceMicros, long timeoutMicros) {
    return sinceMicros != NEVER && nowMicros - sinceMicros >= timeoutMicros;
  }

  /** Closes the connection unless a response is pending or part of a command has been received. */
  void closeIfQuiescent() {
    if (isQuiescent()) {
      closeGracefully();
    }
  }

  /** Responds to all requests in flight with the error for a shutdown. */
  void failRequestsInFlight() {
    responses.failRequestsInFlight(
        PlatformProtocol.ERROR_SHUTTING_DOWN, listener::onClientDisconnected);
  }

  /**
   * Closes the connection once all responses that wait for no earlier one have been sent; bytes
   * received meanwhile are discarded.
   */
  void closeGracefully() {
    closeGracefully(listener.unreadResponseTimeoutMicros());
  }

  private void closeGracefully(long flushTimeoutMicros) {
    if (!isClosed()) {
      responses.writeAllReady();
    }
    halfClose(flushTimeoutMicros);
    listener.onHalfClosed(this);
    onDisconnected();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
    if (unwritableSinceMicros != NEVER && isWritable()) {
      unwritableSinceMicros = NEVER;
      flushResponses();
      redeliverBufferedBytes();
      updateReading();
    }
    handlerContext.fireChannelWritabilityChanged();
  }

  @Override
  void onDisconnected() {
    if (isDisconnectHandled) {
      return;
    }
    isDisconnectHandled = true;
    listener.onClosed(this);
    listener.commandMemory().release(this);
    responses.clear(listener::onClientDisconnected);
  }
}
