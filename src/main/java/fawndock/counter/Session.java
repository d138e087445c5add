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
final class Session extends ChannelInboundHandlerAdapter {
  /** Bytes of waiting answers beyond which nothing more is read. */
  static final int MOST_HELD = 256 << 10;

  /** Commands done in one turn, so that a deep pipeline does not keep the others waiting. */
  private static final int MOST_A_TURN = 1_024;

  private record Held(long group, ByteBuf answers) {}

  final long id;
  final Engine engine;
  private final CommandReader reader = new CommandReader(CommandReader.Limits.SERVER);
  private final ArrayDeque<Held> held = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private ByteBuf input;
  private ByteBuf scratch;
  private ReplyWriter reply;
  private long heldBytes;
  private boolean ending;
  private boolean later;
  private long stalledSince;
  boolean known;
  String name = "";
  Transaction transaction;

  Session(Engine engine, long id) {
    this.engine = engine;
    this.id = id;
    known = engine.open();
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
    if (ending) {
      bytes.release();
      return;
    }
    input.discardSomeReadBytes().writeBytes(bytes);
    bytes.release();
    process();
  }

  private boolean full() {
    return heldBytes > MOST_HELD || !context.channel().isWritable();
  }

  private void process() {
    long now = engine.now();
    ByteBuf direct = null;
    int many = 0;
    try {
      while (!ending && !full() && many < MOST_A_TURN) {
        byte[][] words = reader.next(input);
        if (words == null) {
          break;
        }
        many++;
        scratch.clear();
        long group = engine.run(words, reply, this, now);
        direct = answer(group, direct);
        if (direct != null && direct.readableBytes() > MOST_HELD) {
          context.write(direct);
          direct = null;
        }
      }
    } catch (ProtocolException e) {
      scratch.clear();
      reply.error(e.getMessage());
      direct = answer(0, direct);
      ending = true;
    }
    if (direct != null) {
      context.write(direct);
    }
    context.flush();
    engine.pumpSoon();
    // Only a command that is itself incomplete is stalled: one that waits for room here is not the
    // client's fault.
    boolean incomplete =
        !full() && many < MOST_A_TURN && (reader.isWithinCommand() || input.isReadable());
    stalledSince =
        !incomplete ? 0 : many > 0 || stalledSince == 0 ? System.nanoTime() | 1 : stalledSince;
    context.channel().config().setAutoRead(!full() && !ending);
    if (many == MOST_A_TURN && !later) {
      later = true;
      context
          .executor()
          .execute(
              () -> {
                later = false;
                if (context.channel().isActive()) {
                  process();
                }
              });
    }
    endIfDone();
  }

  /**
   * Takes the answer in scratch: to what goes out at once, or to what waits for the group; returns
   * the former.
   */
  private ByteBuf answer(long group, ByteBuf direct) {
    if (group != 0 || !held.isEmpty()) {
      hold(group);
      return direct;
    }
    return (direct == null ? context.alloc().buffer(1_024) : direct).writeBytes(scratch);
  }

  /** Keeps the answer in scratch until its group is durable. */
  private void hold(long group) {
    long last = held.isEmpty() ? 0 : held.peekLast().group;
    if (held.isEmpty() || group > last) {
      held.add(new Held(Math.max(group, last), context.alloc().buffer(1_024)));
      engine.waits(this);
    }
    held.peekLast().answers.writeBytes(scratch);
    heldBytes += scratch.readableBytes();
  }

  /** Sends what waited for groups up to this one; whether more waits. */
  boolean release(long group) {
    boolean was = full();
    boolean any = false;
    while (!held.isEmpty() && held.peek().group <= group) {
      ByteBuf answers = held.poll().answers;
      heldBytes -= answers.readableBytes();
      context.write(answers);
      any = true;
    }
    if (any) {
      context.flush();
    }
    if (was && !full()) {
      process();
    }
    endIfDone();
    return !held.isEmpty();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext handler) {
    if (handler.channel().isWritable() && !handler.channel().config().isAutoRead()) {
      process();
    }
  }

  /** Takes no more commands and closes when the last answer has gone. */
  void endAfterAnswers() {
    ending = true;
  }

  private void endIfDone() {
    if (ending && held.isEmpty() && context.channel().isActive()) {
      context
          .writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER)
          .addListener(ChannelFutureListener.CLOSE);
    }
  }

  /** Closes when a command has been half here, or answers unread, for longer than this. */
  void check(long now, long limitNanos) {
    if (!context.channel().isWritable()) {
      stalledSince = stalledSince == 0 ? now | 1 : stalledSince;
    }
    if (stalledSince != 0 && now - stalledSince > limitNanos) {
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handler) {
    ending = true;
    engine.gone(this);
    held.forEach(h -> h.answers.release());
    held.clear();
    input.release();
    scratch.release();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handler, Throwable cause) {
    handler.close();
  }
}
