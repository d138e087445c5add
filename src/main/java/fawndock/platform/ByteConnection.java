package fawndock.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Base class of connections: bytes in and out, with unread bytes buffered until more come, and a
 * half-close that loses no response. Confined to one event loop.
 */
abstract class ByteConnection extends ChannelInboundHandlerAdapter implements AutoCloseable {
  /** After a half-close the other side is given this time to close. */
  private static final long LINGER_TIMEOUT_MILLIS = 1_000;

  /** After a half-close at most so many bytes are read and dropped. */
  private static final int MAX_LINGER_BYTES = 256 << 10;

  private ChannelHandlerContext context;
  private ByteBuf bufferedBytes = Unpooled.EMPTY_BUFFER;
  private boolean isClosed;
  private int discardedBytes;

  /** Reads what it can; bytes left unread are given again, together with the next ones. */
  abstract void onBytes(ByteBuf in);

  /** The other side closed the connection, or it broke; not called after {@link #close}. */
  abstract void onDisconnected();

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    context = handlerContext;
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    if (!isClosed) {
      markClosed();
      onDisconnected();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    // A reset, most often.
    closeChannel();
  }

  @Override
  public void channelRead(ChannelHandlerContext handlerContext, Object message) {
    ByteBuf received = (ByteBuf) message;
    try {
      if (isClosed) {
        discard(received.readableBytes());
      } else if (bufferedBytes.isReadable()) {
        int size = bufferedBytes.readableBytes() + received.readableBytes();
        deliver(Unpooled.buffer(size).writeBytes(bufferedBytes).writeBytes(received), false);
      } else {
        deliver(received, true);
      }
    } finally {
      received.release();
    }
  }

  private void deliver(ByteBuf bytes, boolean mustCopy) {
    bufferedBytes = Unpooled.EMPTY_BUFFER;
    onBytes(bytes);
    if (!isClosed && bytes.isReadable()) {
      bufferedBytes = mustCopy ? Unpooled.buffer(bytes.readableBytes()).writeBytes(bytes) : bytes;
    }
  }

  private void discard(int bytes) {
    discardedBytes += bytes;
    if (discardedBytes > MAX_LINGER_BYTES) {
      closeChannel();
    }
  }

  /** Delivers the buffered bytes once more. */
  final void redeliverBufferedBytes() {
    if (!isClosed && bufferedBytes.isReadable()) {
      deliver(bufferedBytes, false);
    }
  }

  final boolean hasBufferedBytes() {
    return bufferedBytes.isReadable();
  }

  /** Writes bytes; the future tells whether all were handed to the network. */
  final ChannelFuture send(ByteBuf bytes) {
    return context.writeAndFlush(bytes);
  }

  final boolean isWritable() {
    return context.channel().isWritable();
  }

  /**
   * Closes the connection for both directions after what was written: output is shut down, and
   * input is read and dropped until the other side closes, within limits. A plain close over unread
   * bytes would be a reset, which can destroy a response on its way. Idempotent.
   */
  final void halfClose() {
    if (isClosed) {
      return;
    }
    markClosed();
    if (!(context.channel() instanceof DuplexChannel channel) || !channel.isActive()) {
      closeChannel();
      return;
    }
    // Within this turn where all has been written, as it mostly has; else as soon as it is.
    var unusedShutdown =
        send(Unpooled.EMPTY_BUFFER)
            .addListener(written -> shutDownOutput(channel, written.isSuccess()));
    var lingerTimer =
        context
            .executor()
            .schedule(this::closeChannel, LINGER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    var unusedCancel = channel.closeFuture().addListener(closed -> lingerTimer.cancel(false));
  }

  private void shutDownOutput(DuplexChannel channel, boolean isWritten) {
    if (isWritten) {
      // Should it fail, the linger timer closes the channel.
      var unused = channel.shutdownOutput();
    } else {
      closeChannel();
    }
  }

  private void closeChannel() {
    // Needs no follow-up: channelInactive reports the close.
    var unused = context.close();
  }

  /** Closes the channel at once, also after {@link #halfClose}. */
  final void closeNow() {
    closeChannel();
  }

  /** Calls the listener when the connection is closed in both directions. */
  final void whenClosed(Runnable listener) {
    var unused = context.channel().closeFuture().addListener(closed -> listener.run());
  }

  /**
   * Closes the connection at once, without calling {@link #onDisconnected}; unread bytes make it a
   * reset. Idempotent.
   */
  @Override
  public final void close() {
    if (!isClosed) {
      markClosed();
      closeChannel();
    }
  }

  private void markClosed() {
    isClosed = true;
    bufferedBytes = Unpooled.EMPTY_BUFFER;
  }

  final boolean isClosed() {
    return isClosed;
  }
}
