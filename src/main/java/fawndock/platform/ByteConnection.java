package fawndock.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * The bytes of one connection. What has come and not been used up is kept and given again with what
 * comes next. One event loop.
 */
abstract class ByteConnection extends ChannelInboundHandlerAdapter {
  /**
   * After a half-close the other side has so long to close, and so many bytes are read from it and
   * dropped.
   */
  private static final long LINGER_MILLIS = 1_000;

  private static final int LINGER_BYTES = 256 << 10;
  private ChannelHandlerContext context;
  private ByteBuf kept = Unpooled.EMPTY_BUFFER;
  private boolean over;
  private int dropped;

  @Override
  public void handlerAdded(ChannelHandlerContext handler) {
    context = handler;
  }

  @Override
  public void channelInactive(ChannelHandlerContext handler) {
    over();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handler, Throwable cause) {
    handler.close(); // A reset, most often.
  }

  @Override
  public void channelRead(ChannelHandlerContext handler, Object message) {
    ByteBuf part = (ByteBuf) message;
    try {
      if (over) {
        drop(part.readableBytes());
        return;
      }
      ByteBuf all = part;
      if (kept.isReadable()) {
        all =
            Unpooled.buffer(kept.readableBytes() + part.readableBytes())
                .writeBytes(kept)
                .writeBytes(part);
      }
      take(all, all == part);
    } finally {
      part.release();
    }
  }

  private void take(ByteBuf all, boolean copy) {
    kept = Unpooled.EMPTY_BUFFER;
    onBytes(all);
    if (!over && all.isReadable()) {
      kept = copy ? Unpooled.buffer(all.readableBytes()).writeBytes(all) : all;
    }
  }

  /** Gives what was kept once more. */
  final void redeliverBuffered() {
    if (!over && kept.isReadable()) {
      take(kept, false);
    }
  }

  /** Whether bytes have come that were not used up. */
  final boolean hasBufferedBytes() {
    return kept.isReadable();
  }

  private void drop(int bytes) {
    dropped += bytes;
    if (dropped > LINGER_BYTES) {
      context.close();
    }
  }

  /** Takes what it can use off the bytes. */
  abstract void onBytes(ByteBuf in);

  /** The other side ended it, or it broke; not told after {@link #close}. */
  abstract void onDisconnected();

  final ChannelFuture send(ByteBuf bytes) {
    return context.writeAndFlush(bytes);
  }

  final boolean isWritable() {
    return context.channel().isWritable();
  }

  private void over() {
    if (!over) {
      over = true;
      kept = Unpooled.EMPTY_BUFFER;
      onDisconnected();
    }
  }

  /**
   * Ends it in this turn, after what was written, by a half-close: what comes from now on is read
   * and dropped, until the other side has closed too. Guards against a close over unread bytes,
   * which is a reset and may take with it an answer that was just written. May hold a descriptor
   * for the linger time; {@link #lingerEnd} ends that.
   */
  final void halfClose() {
    if (over) {
      return;
    }
    over = true;
    kept = Unpooled.EMPTY_BUFFER;
    if (!(context.channel() instanceof DuplexChannel channel) || !channel.isActive()) {
      context.close();
      return;
    }
    // In the turn of the decision where all has been written, as it mostly has; else as soon as it
    // is.
    send(Unpooled.EMPTY_BUFFER)
        .addListener(
            written -> {
              if (written.isSuccess()) {
                channel.shutdownOutput();
              } else {
                channel.close();
              }
            });
    var limit =
        context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    channel.closeFuture().addListener(closed -> limit.cancel(false));
  }

  /** Ends the waiting for the other side after {@link #halfClose}. */
  final void closeNow() {
    context.close();
  }

  /** Runs something when the connection is closed on both sides. */
  final void whenClosed(Runnable what) {
    context.channel().closeFuture().addListener(closed -> what.run());
  }

  /** Ends it now, on both sides: nothing more is read, and what lies unread makes it a reset. */
  final void close() {
    if (!over) {
      over = true;
      kept = Unpooled.EMPTY_BUFFER;
      context.close();
    }
  }

  final boolean isClosed() {
    return over;
  }
}
