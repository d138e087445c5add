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
 * One client's connection: commands in, answers out in their order. What cannot be read gets an
 * error line in its turn, and nothing is read after it. One context.
 */
final class ClientConnection extends ByteConnection {
  /**
   * Commands that wait for their answers on one connection; more are told to be too many, and it
   * ends.
   */
  private static final int MOST_OPEN = 64;

  /** What it may send while it does not read its answers; more ends it. */
  private static final int MOST_KEPT = 128 << 10;

  private static final CommandReader.Limits LIMITS = new CommandReader.Limits(66 << 10, 8, 0);

  /** One command's place among the answers. */
  final class ResponseSlot {
    private ByteBuf respond;
    private ClientExchange exchange;
    private long host = -1;

    void respond(ByteBuf bytes) {
      respond = bytes;
      if (exchange != null) {
        front.release(exchange);
      }
      flush();
    }

    void respondError(String line) {
      ByteBuf out = Unpooled.buffer(line.length() + 4);
      new ReplyWriter(out).error(line);
      respond(out);
    }
  }

  private final ClientListener front;
  private final CommandReader reader = new CommandReader(LIMITS);
  private final ArrayDeque<ResponseSlot> places = new ArrayDeque<>(2);

  /** When it was opened, or last had all of its answers. */
  private long quietSince;

  /** When a command began of which the rest has not come; 0 for none. */
  private long halfSince;

  /** When it began not to read its answers; 0 while it does. */
  private long fullSince;

  /** When it was told that it cannot go on; 0 while it can. */
  private long endingSince;

  private boolean hasSentCommand;
  private boolean flushing;
  private boolean left;

  ClientConnection(ClientListener front) {
    this.front = front;
    quietSince = front.now();
  }

  @Override
  public void channelActive(ChannelHandlerContext handler) {
    front.onAccepted(this);
  }

  @Override
  void onBytes(ByteBuf in) {
    boolean any = false;
    flushing = true;
    try {
      // After it was told that it cannot go on, nothing is read: guards memory against what it
      // still sends.
      for (byte[][] words = next(in); words != null; words = next(in)) {
        any = true;
        if (places.size() >= MOST_OPEN) {
          refuse("ERR too many commands at once");
        } else {
          command(words);
        }
      }
    } catch (ProtocolException e) {
      refuse(e.getMessage());
    }
    flushing = false;
    if (endingSince != 0) {
      in.skipBytes(in.readableBytes());
    }
    // Bytes are taken also while answers are not read, so that its leaving is seen; commands are
    // not.
    if (fullSince != 0 && in.readableBytes() > MOST_KEPT) {
      closeGracefully();
      return;
    }
    boolean half = fullSince == 0 && (reader.isWithinCommand() || in.isReadable());
    halfSince = !half ? 0 : any || halfSince == 0 ? front.now() : halfSince;
    flush();
  }

  private byte[][] next(ByteBuf in) throws ProtocolException {
    return endingSince != 0 || fullSince != 0 || isClosed() ? null : reader.next(in);
  }

  private void command(byte[][] words) {
    hasSentCommand = true;
    ResponseSlot place = new ResponseSlot();
    places.add(place);
    if (ClientCommand.isOne(words[0])) {
      try {
        ClientCommand command = ClientCommand.read(words, front.now(), front.terms());
        String unfit = front.rejection(command);
        if (unfit != null) {
          place.respondError(unfit);
          return;
        }
        place.exchange = new ClientExchange(command, place);
        place.host = front.submit(place.exchange);
      } catch (ClientCommand.UnfitException e) {
        place.respondError(e.getMessage());
      }
    } else if (words.length == 1 && ClientCommand.is(words[0], "PING")) {
      ByteBuf out = Unpooled.buffer(8);
      new ReplyWriter(out).simple("PONG");
      place.respond(out);
    } else {
      place.respondError("ERR unknown command");
    }
  }

  /** Tells that the connection cannot go on, after the answers before. */
  private void refuse(String line) {
    ResponseSlot place = new ResponseSlot();
    places.add(place);
    endingSince = front.now();
    halfSince = 0;
    place.respondError(line);
  }

  private void flush() {
    if (flushing || isClosed()) {
      return;
    }
    ByteBuf out = null;
    while (!places.isEmpty() && places.peek().respond != null) {
      ByteBuf next = places.poll().respond;
      out = out == null ? next : Unpooled.wrappedBuffer(out, next);
    }
    if (out != null) {
      quietSince = front.now();
      send(out);
      if (!isWritable() && fullSince == 0) {
        fullSince = quietSince;
      }
    }
    if (places.isEmpty()
        && (endingSince != 0 || front.isDraining() && halfSince == 0 && !hasBufferedBytes())) {
      closeGracefully();
    }
  }

  /** Whether nothing is open on it and it has been so for the time given. */
  boolean isIdle(long now, long micros) {
    return places.isEmpty() && halfSince == 0 && !hasBufferedBytes() && now - quietSince >= micros;
  }

  boolean hasSentCommand() {
    return hasSentCommand;
  }

  boolean hasPendingResponses() {
    return !places.isEmpty();
  }

  /**
   * Ends it when a limit of {@link ClientListener} is passed: silent, half a command, answers not
   * read, told to go.
   */
  void checkLimits(long now) {
    boolean silent = !hasSentCommand && isIdle(now, ClientListener.SILENT_MICROS);
    boolean half = halfSince != 0 && now - halfSince >= ClientListener.SILENT_MICROS;
    boolean full = fullSince != 0 && now - fullSince >= ClientListener.UNREAD_MICROS;
    boolean told = endingSince != 0 && now - endingSince >= ClientListener.SILENT_MICROS;
    if (silent || full || told || isIdle(now, front.idleMicros())) {
      closeGracefully();
    } else if (half && endingSince == 0) {
      halfSince = 0;
      refuse("ERR the command did not end");
    }
  }

  /** Closes it when nothing is open on it, not even half a command. */
  void closeIfIdle() {
    if (places.isEmpty() && halfSince == 0 && !hasBufferedBytes()) {
      closeGracefully();
    }
  }

  /** Answers what is open as failed. */
  void failInFlight() {
    for (ResponseSlot place : List.copyOf(places)) {
      if (place.respond == null && place.host >= 0) {
        front.onClientDisconnected(place.host);
        place.respondError("ERR stopping");
      }
    }
  }

  /** Closes it after what was written; what comes meanwhile is not read. */
  void closeGracefully() {
    halfClose();
    front.onHalfClosed(this);
    onDisconnected();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext handler) {
    if (fullSince != 0 && isWritable()) {
      fullSince = 0;
      redeliverBuffered();
    }
    handler.fireChannelWritabilityChanged();
  }

  @Override
  void onDisconnected() {
    if (left) {
      return;
    }
    left = true;
    front.onClosed(this);
    for (ResponseSlot place : places) {
      if (place.respond == null && place.host >= 0) {
        front.release(place.exchange);
        front.onClientDisconnected(place.host);
      }
    }
    places.clear();
  }
}
