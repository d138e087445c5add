package fawndock.platform;

import fawndock.resp.CommandReader;
import fawndock.resp.ProtocolException;
import fawndock.resp.ReplyWriter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import java.util.ArrayDeque;
import java.util.List;

/**
 * One client's connection: reads commands and writes their responses in the same order. After a
 * protocol error the client gets an error reply after all pending responses, and no further command
 * is read. Confined to one event loop.
 */
final class ClientConnection extends ByteConnection {
  /**
   * Maximum number of commands in flight on one connection; a client that exceeds it is
   * disconnected.
   */
  private static final int MAX_PENDING_RESPONSES = 64;

  /**
   * Maximum number of bytes buffered from a client that does not read its responses; a connection
   * that exceeds it is closed.
   */
  private static final int MAX_BUFFERED_BYTES = 128 << 10;

  private static final CommandReader.Limits COMMAND_LIMITS =
      new CommandReader.Limits(66 << 10, 8, 0);

  /** Value of the timestamps below while their condition does not hold. */
  private static final long NEVER = 0;

  private static final long NO_REQUEST = -1;

  /** The position of one command's response in the connection's response order. */
  final class ResponseSlot {
    private ByteBuf response;
    private ClientExchange exchange;
    private long requestId = NO_REQUEST;

    /** Sets the response, which is written once all earlier responses have been. */
    void respond(ByteBuf bytes) {
      response = bytes;
      if (exchange != null) {
        listener.release(exchange);
      }
      flushResponses();
    }

    void respondError(String error) {
      ByteBuf out = Unpooled.buffer(error.length() + 4);
      new ReplyWriter(out).error(error);
      respond(out);
    }

    private boolean isInFlight() {
      return response == null && requestId != NO_REQUEST;
    }
  }

  private final ClientListener listener;
  private final CommandReader reader = new CommandReader(COMMAND_LIMITS);
  private final ArrayDeque<ResponseSlot> responseSlots = new ArrayDeque<>(2);

  /** Time at which the connection was accepted or last wrote a response. */
  private long idleSinceMicros;

  /** Time at which the incomplete command began. */
  private long incompleteSinceMicros = NEVER;

  /** Time at which the client stopped reading its responses. */
  private long unwritableSinceMicros = NEVER;

  /** Time at which a protocol error made the connection unusable. */
  private long failedSinceMicros = NEVER;

  private boolean hasSentCommand;
  private boolean isReadingCommands;
  private boolean isDisconnectHandled;

  ClientConnection(ClientListener listener) {
    this.listener = listener;
    idleSinceMicros = listener.nowMicros();
  }

  @Override
  public void channelActive(ChannelHandlerContext handlerContext) {
    listener.onAccepted(this);
  }

  @Override
  void onBytes(ByteBuf in) {
    boolean hasReadCommand = readCommands(in);
    if (failedSinceMicros != NEVER) {
      in.skipBytes(in.readableBytes());
    }
    // Bytes are read even while the client does not read its responses, so that a disconnect is
    // noticed. Commands are not processed meanwhile.
    if (unwritableSinceMicros != NEVER && in.readableBytes() > MAX_BUFFERED_BYTES) {
      closeGracefully();
      return;
    }
    updateIncompleteSince(in, hasReadCommand);
    flushResponses();
  }

  /** Processes all complete commands; returns whether there were any. */
  private boolean readCommands(ByteBuf in) {
    boolean hasReadCommand = false;
    isReadingCommands = true;
    try {
      for (byte[][] arguments = nextCommand(in); arguments != null; arguments = nextCommand(in)) {
        hasReadCommand = true;
        if (responseSlots.size() >= MAX_PENDING_RESPONSES) {
          fail(PlatformProtocol.ERROR_TOO_MANY_COMMANDS);
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
    boolean canRead = failedSinceMicros == NEVER && unwritableSinceMicros == NEVER && !isClosed();
    return canRead ? reader.next(in) : null;
  }

  private void updateIncompleteSince(ByteBuf in, boolean hasReadCommand) {
    boolean isIncomplete =
        unwritableSinceMicros == NEVER && (reader.hasPartialCommand() || in.isReadable());
    if (!isIncomplete) {
      incompleteSinceMicros = NEVER;
    } else if (hasReadCommand || incompleteSinceMicros == NEVER) {
      incompleteSinceMicros = listener.nowMicros();
    }
  }

  private void onCommand(byte[][] arguments) {
    hasSentCommand = true;
    ResponseSlot slot = addSlot();
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

  private void onRequest(byte[][] arguments, ResponseSlot slot) {
    try {
      ClientCommand command = listener.parser().parse(arguments, listener.nowMicros());
      String error = listener.admissionError(command);
      if (error != null) {
        slot.respondError(error);
        return;
      }
      slot.exchange = new ClientExchange(command, slot);
      slot.requestId = listener.submit(slot.exchange);
    } catch (InvalidCommandException e) {
      slot.respondError(e.getMessage());
    }
  }

  private ResponseSlot addSlot() {
    ResponseSlot slot = new ResponseSlot();
    responseSlots.add(slot);
    return slot;
  }

  /** Responds with an error after all pending responses, and then closes the connection. */
  private void fail(String error) {
    ResponseSlot slot = addSlot();
    failedSinceMicros = listener.nowMicros();
    incompleteSinceMicros = NEVER;
    slot.respondError(error);
  }

  /** Writes, in order, the responses that wait for no earlier one. */
  private void flushResponses() {
    if (isReadingCommands || isClosed()) {
      return;
    }
    ByteBuf out = null;
    while (!responseSlots.isEmpty() && responseSlots.peek().response != null) {
      ByteBuf next = responseSlots.poll().response;
      out = out == null ? next : Unpooled.wrappedBuffer(out, next);
    }
    if (out != null) {
      idleSinceMicros = listener.nowMicros();
      // A failed write closes the connection, which is reported as a disconnect.
      var unused = send(out);
      if (!isWritable() && unwritableSinceMicros == NEVER) {
        unwritableSinceMicros = idleSinceMicros;
      }
    }
    boolean isDrained = listener.isDraining() && isQuiescent();
    if (responseSlots.isEmpty() && (failedSinceMicros != NEVER || isDrained)) {
      closeGracefully();
    }
  }

  /** Returns whether no response is pending and no byte of another command has been received. */
  private boolean isQuiescent() {
    return responseSlots.isEmpty() && incompleteSinceMicros == NEVER && !hasBufferedBytes();
  }

  /** Returns whether the connection has been quiescent for at least this time. */
  boolean isIdle(long nowMicros, long minIdleMicros) {
    return isQuiescent() && nowMicros - idleSinceMicros >= minIdleMicros;
  }

  boolean hasSentCommand() {
    return hasSentCommand;
  }

  boolean hasPendingResponses() {
    return !responseSlots.isEmpty();
  }

  /** Closes the connection if it exceeds one of the listener's timeouts. */
  void checkTimeouts(long nowMicros) {
    boolean isFirstCommandOverdue =
        !hasSentCommand && isIdle(nowMicros, ClientListener.COMMAND_TIMEOUT_MICROS);
    if (isFirstCommandOverdue
        || hasElapsed(
            nowMicros, unwritableSinceMicros, ClientListener.UNREAD_RESPONSE_TIMEOUT_MICROS)
        || hasElapsed(nowMicros, failedSinceMicros, ClientListener.COMMAND_TIMEOUT_MICROS)
        || isIdle(nowMicros, listener.idleTimeoutMicros())) {
      closeGracefully();
    } else if (failedSinceMicros == NEVER
        && hasElapsed(nowMicros, incompleteSinceMicros, ClientListener.COMMAND_TIMEOUT_MICROS)) {
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
    for (ResponseSlot slot : List.copyOf(responseSlots)) {
      if (slot.isInFlight()) {
        listener.onClientDisconnected(slot.requestId);
        slot.respondError(PlatformProtocol.ERROR_SHUTTING_DOWN);
      }
    }
  }

  /**
   * Closes the connection once everything written has been sent; bytes received meanwhile are
   * discarded.
   */
  void closeGracefully() {
    halfClose();
    listener.onHalfClosed(this);
    onDisconnected();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
    if (unwritableSinceMicros != NEVER && isWritable()) {
      unwritableSinceMicros = NEVER;
      redeliverBufferedBytes();
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
    for (ResponseSlot slot : responseSlots) {
      if (slot.isInFlight()) {
        listener.release(slot.exchange);
        listener.onClientDisconnected(slot.requestId);
      }
    }
    responseSlots.clear();
  }
}
