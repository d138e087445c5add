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
 * One client's connection: commands are read and their responses written in the same order. After a
 * protocol error the client gets an error reply in its turn and nothing more is read. Confined to
 * one event loop.
 */
final class ClientConnection extends ByteConnection {
  /** Commands in flight on one connection; a client that exceeds this is disconnected. */
  private static final int MAX_PENDING_RESPONSES = 64;

  /** Buffered from a client that does not read its responses; one that exceeds this is closed. */
  private static final int MAX_BUFFERED_BYTES = 128 << 10;

  private static final CommandReader.Limits LIMITS = new CommandReader.Limits(66 << 10, 8, 0);

  /** Value of the times below while the condition does not hold. */
  private static final long NEVER = 0;

  private static final long NO_REQUEST = -1;

  /** The place of one command's response among those of the connection. */
  final class ResponseSlot {
    private ByteBuf response;
    private ClientExchange exchange;
    private long requestId = NO_REQUEST;

    /** Responds; the bytes are written once all responses before have been. */
    void respond(ByteBuf bytes) {
      response = bytes;
      if (exchange != null) {
        listener.release(exchange);
      }
      flushResponses();
    }

    void respondError(String line) {
      ByteBuf out = Unpooled.buffer(line.length() + 4);
      new ReplyWriter(out).error(line);
      respond(out);
    }

    private boolean isInFlight() {
      return response == null && requestId != NO_REQUEST;
    }
  }

  private final ClientListener listener;
  private final CommandReader reader = new CommandReader(LIMITS);
  private final ArrayDeque<ResponseSlot> slots = new ArrayDeque<>(2);

  /** When the connection was accepted, or last wrote a response. */
  private long idleSinceMicros;

  /** When an incomplete command began. */
  private long incompleteSinceMicros = NEVER;

  /** When the client stopped reading its responses. */
  private long unwritableSinceMicros = NEVER;

  /** When a protocol error made the connection unusable. */
  private long failedSinceMicros = NEVER;

  private boolean hasSentCommand;
  private boolean isReading;
  private boolean isReleased;

  ClientConnection(ClientListener listener) {
    this.listener = listener;
    idleSinceMicros = listener.nowMicros();
  }

  @Override
  public void channelActive(ChannelHandlerContext handler) {
    listener.onAccepted(this);
  }

  @Override
  void onBytes(ByteBuf in) {
    boolean hasReadCommand = readCommands(in);
    if (failedSinceMicros != NEVER) {
      in.skipBytes(in.readableBytes());
    }
    // Bytes are read even while the client does not read its responses, so that a disconnect is
    // noticed; commands are not.
    if (unwritableSinceMicros != NEVER && in.readableBytes() > MAX_BUFFERED_BYTES) {
      closeGracefully();
      return;
    }
    updateIncompleteSince(in, hasReadCommand);
    flushResponses();
  }

  /** Reads all complete commands; returns whether there were any. */
  private boolean readCommands(ByteBuf in) {
    boolean hasReadCommand = false;
    isReading = true;
    try {
      for (byte[][] words = nextCommand(in); words != null; words = nextCommand(in)) {
        hasReadCommand = true;
        if (slots.size() >= MAX_PENDING_RESPONSES) {
          fail(PlatformProtocol.ERROR_TOO_MANY_COMMANDS);
        } else {
          onCommand(words);
        }
      }
    } catch (ProtocolException e) {
      fail(e.getMessage());
    }
    isReading = false;
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

  private void onCommand(byte[][] words) {
    hasSentCommand = true;
    ResponseSlot slot = addSlot();
    if (ClientCommandParser.isRequest(words[0])) {
      onRequest(words, slot);
    } else if (words.length == 1
        && ClientCommandParser.isWord(words[0], PlatformProtocol.COMMAND_PING)) {
      ByteBuf out = Unpooled.buffer(8);
      new ReplyWriter(out).simpleString(PlatformProtocol.REPLY_PONG);
      slot.respond(out);
    } else {
      slot.respondError(PlatformProtocol.ERROR_UNKNOWN_COMMAND);
    }
  }

  private void onRequest(byte[][] words, ResponseSlot slot) {
    try {
      ClientCommand command = listener.parser().parse(words, listener.nowMicros());
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
    slots.add(slot);
    return slot;
  }

  /** Responds with an error after all pending responses, and closes the connection after it. */
  private void fail(String error) {
    ResponseSlot slot = addSlot();
    failedSinceMicros = listener.nowMicros();
    incompleteSinceMicros = NEVER;
    slot.respondError(error);
  }

  /** Writes the responses that are due, in order. */
  private void flushResponses() {
    if (isReading || isClosed()) {
      return;
    }
    ByteBuf out = null;
    while (!slots.isEmpty() && slots.peek().response != null) {
      ByteBuf next = slots.poll().response;
      out = out == null ? next : Unpooled.wrappedBuffer(out, next);
    }
    if (out != null) {
      idleSinceMicros = listener.nowMicros();
      // A write that fails closes the connection, which is reported as a disconnect.
      var unused = send(out);
      if (!isWritable() && unwritableSinceMicros == NEVER) {
        unwritableSinceMicros = idleSinceMicros;
      }
    }
    boolean isDrained = listener.isDraining() && isQuiet();
    if (slots.isEmpty() && (failedSinceMicros != NEVER || isDrained)) {
      closeGracefully();
    }
  }

  /** Returns whether no response is pending and no byte of a further command has come. */
  private boolean isQuiet() {
    return slots.isEmpty() && incompleteSinceMicros == NEVER && !hasBufferedBytes();
  }

  /** Returns whether nothing has been in flight on the connection for this long. */
  boolean isIdle(long nowMicros, long minMicros) {
    return isQuiet() && nowMicros - idleSinceMicros >= minMicros;
  }

  boolean hasSentCommand() {
    return hasSentCommand;
  }

  boolean hasPendingResponses() {
    return !slots.isEmpty();
  }

  /** Closes the connection when it exceeds one of the listener's time limits. */
  void checkTimeouts(long nowMicros) {
    boolean isSilent = !hasSentCommand && isIdle(nowMicros, ClientListener.SILENT_TIMEOUT_MICROS);
    if (isSilent
        || hasElapsed(nowMicros, unwritableSinceMicros, ClientListener.UNREAD_TIMEOUT_MICROS)
        || hasElapsed(nowMicros, failedSinceMicros, ClientListener.SILENT_TIMEOUT_MICROS)
        || isIdle(nowMicros, listener.idleTimeoutMicros())) {
      closeGracefully();
    } else if (failedSinceMicros == NEVER
        && hasElapsed(nowMicros, incompleteSinceMicros, ClientListener.SILENT_TIMEOUT_MICROS)) {
      fail(PlatformProtocol.ERROR_INCOMPLETE_COMMAND);
    }
  }

  private static boolean hasElapsed(long nowMicros, long sinceMicros, long timeoutMicros) {
    return sinceMicros != NEVER && nowMicros - sinceMicros >= timeoutMicros;
  }

  /** Closes the connection unless a response is pending or part of a command has come. */
  void closeIfQuiet() {
    if (isQuiet()) {
      closeGracefully();
    }
  }

  /** Responds to all requests in flight with an error. */
  void failInFlight() {
    for (ResponseSlot slot : List.copyOf(slots)) {
      if (slot.isInFlight()) {
        listener.onClientDisconnected(slot.requestId);
        slot.respondError(PlatformProtocol.ERROR_SHUTTING_DOWN);
      }
    }
  }

  /** Closes the connection after what was written; bytes that come meanwhile are dropped. */
  void closeGracefully() {
    halfClose();
    listener.onHalfClosed(this);
    onDisconnected();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext handler) {
    if (unwritableSinceMicros != NEVER && isWritable()) {
      unwritableSinceMicros = NEVER;
      redeliverBuffered();
    }
    handler.fireChannelWritabilityChanged();
  }

  @Override
  void onDisconnected() {
    if (isReleased) {
      return;
    }
    isReleased = true;
    listener.onClosed(this);
    for (ResponseSlot slot : slots) {
      if (slot.isInFlight()) {
        listener.release(slot.exchange);
        listener.onClientDisconnected(slot.requestId);
      }
    }
    slots.clear();
  }
}
