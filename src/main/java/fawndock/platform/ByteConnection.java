package fawndock.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Base class of connections: reads and writes bytes, buffers unread bytes until more arrive, and
 * can half-close without losing a response. Confined to one event loop.
 */
abstract class ByteConnection extends ChannelInboundHandlerAdapter implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ByteConnection.class);

  /** Time that the peer has to close once all bytes and the half-close have been sent. */
  static final long LINGER_TIMEOUT_MICROS = 1_000_000;

  /**
   * Number of bytes that are read and discarded after a half-close. Further bytes stay unread: a
   * close would reset the connection while the peer may still be reading.
   */
  private static final int MAX_LINGER_BYTES = 256 << 10;

  /** A smaller buffer is filled by a few commands already. */
  private static final int MIN_FULL_READ_BYTES = 2_048;

  private ChannelHandlerContext context;
  private final UnreadBytes unreadBytes = new UnreadBytes();
  private boolean isClosed;
  private boolean isOutputShutDown;
  private boolean isBacklogged;
  private boolean isBacklogCheckPending;
  private int readCount;
  private int fullReadCount;
  private int discardedBytes;

  /**
   * Reads as many bytes as possible. Bytes left unread are passed again, together with the next
   * ones.
   */
  abstract void onBytes(ByteBuf in);

  /**
   * Called when the peer has closed the connection or it broke; not called after {@link #close}.
   */
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
    closeAfterFailure(cause);
  }

  @Override
  public void channelRead(ChannelHandlerContext handlerContext, Object message) {
    ByteBuf received = (ByteBuf) message;
    readCount++;
    if (!received.isWritable() && received.readableBytes() >= MIN_FULL_READ_BYTES) {
      onFullRead();
    }
    try {
      if (isClosed) {
        discard(received.readableBytes());
      } else if (unreadBytes.isEmpty()) {
        onBytes(received);
        retainUnread(received);
      } else {
        unreadBytes.append(received);
        redeliverBufferedBytes();
      }
    } finally {
      received.release();
    }
  }

  /** Notes that a read has filled a large buffer, so that more bytes may be in the socket. */
  private void onFullRead() {
    isBacklogged = true;
    fullReadCount++;
    checkBacklogAfterReads(false);
  }

  /**
   * Ends the backlog after a turn of the event loop without a full read; if it has read at all, one
   * turn later, since a disconnect is noticed in the turn after the last bytes. While reading is
   * paused the backlog stays, and is checked again once reading goes on.
   */
  private void checkBacklogAfterReads(boolean isLastTurn) {
    if (isBacklogCheckPending) {
      return;
    }
    isBacklogCheckPending = true;
    int readCountBefore = readCount;
    int fullReadCountBefore = fullReadCount;
    TcpTransport.runAfterReads(
        context.executor(),
        () -> {
          isBacklogCheckPending = false;
          if (isClosed || !isReading()) {
            return;
          }
          if (fullReadCount != fullReadCountBefore) {
            checkBacklogAfterReads(false);
          } else if (readCount != readCountBefore && !isLastTurn) {
            checkBacklogAfterReads(true);
          } else {
            isBacklogged = false;
          }
        });
  }

  private boolean isReading() {
    return context.channel().config().isAutoRead();
  }

  /**
   * Returns whether bytes that the peer has sent may still be in the socket. A disconnect stands
   * behind them and is not known yet.
   */
  final boolean isBacklogged() {
    return isBacklogged;
  }

  /** Copies what is left of the bytes received in this turn. */
  private void retainUnread(ByteBuf received) {
    if (!isClosed && received.isReadable()) {
      unreadBytes.append(received);
    }
    onRetained();
  }

  /**
   * Called after bytes have been read and the rest has been retained, for the count of memory; see
   * {@link #retainedBytes}.
   */
  void onRetained() {}

  /** Returns the memory of bytes that have arrived and are not read, in bytes. */
  final int retainedBytes() {
    return unreadBytes.heldBytes();
  }

  /** Drops all bytes that have arrived and are not read. */
  final void discardBufferedBytes() {
    unreadBytes.clear();
  }

  private void discard(int bytes) {
    discardedBytes += bytes;
    if (discardedBytes > MAX_LINGER_BYTES) {
      setReading(false);
    }
  }

  /**
   * Sets whether bytes are read. Those that are not stay in the socket, and a disconnect is then
   * noticed by a write alone.
   */
  final void setReading(boolean isReading) {
    boolean mustCheckBacklog = isReading && isBacklogged && !isReading();
    context.channel().config().setAutoRead(isReading);
    if (mustCheckBacklog) {
      checkBacklogAfterReads(false);
    }
  }

  /** Passes the buffered bytes to {@link #onBytes} once more. */
  final void redeliverBufferedBytes() {
    if (isClosed || unreadBytes.isEmpty()) {
      return;
    }
    ByteBuf bytes = unreadBytes.take();
    onBytes(bytes);
    if (!isClosed) {
      unreadBytes.set(bytes);
    }
    onRetained();
  }

  final boolean hasBufferedBytes() {
    return !unreadBytes.isEmpty();
  }

  /**
   * Writes bytes, which must not be changed afterwards. The future succeeds once all of them were
   * handed to the network. If it fails the connection is closed, because the bytes are missing from
   * the stream and everything after them would be taken for something else.
   */
  final ChannelFuture send(ByteBuf bytes) {
    return context
        .writeAndFlush(new OutboundBytes(bytes))
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                closeAfterFailure(written.cause());
              }
            });
  }

  private void closeAfterFailure(Throwable cause) {
    // An IOException means that the peer has closed or reset the connection.
    if (!(cause instanceof IOException)) {
      LOG.warn(
          "connection closed after a failure: remote={} cause={}",
          context.channel().remoteAddress(),
          cause.toString());
    }
    closeChannel();
  }

  /** Returns whether less than the channel's high water mark is waiting to be written. */
  public final boolean isWritable() {
    return context.channel().isWritable();
  }

  /**
   * Closes the connection once everything written has been sent: output is shut down, and input is
   * read and discarded until the peer closes, within limits. A plain close with unread bytes would
   * send a reset, which can destroy a response in transit. Idempotent.
   *
   * @param flushTimeoutMicros time after which the connection is closed although the peer has not
   *     read what was written
   */
  final void halfClose(long flushTimeoutMicros) {
    if (isClosed) {
      return;
    }
    markClosed();
    if (!(context.channel() instanceof DuplexChannel channel) || !channel.isActive()) {
      closeChannel();
      return;
    }
    Future<?> flushTimer = closeAfter(flushTimeoutMicros);
    // The listener runs in this turn if everything has been written, as is mostly the case;
    // otherwise as soon as it is.
    var unusedShutdown =
        send(Unpooled.EMPTY_BUFFER)
            .addListener(
                written -> {
                  flushTimer.cancel(false);
                  shutDownOutput(channel, written.isSuccess());
                });
  }

  private void shutDownOutput(DuplexChannel channel, boolean isWritten) {
    if (!isWritten) {
      closeChannel();
      return;
    }
    isOutputShutDown = true;
    // If the shutdown fails, the timer closes the channel.
    var unusedShutdown = channel.shutdownOutput();
    var unusedTimer = closeAfter(LINGER_TIMEOUT_MICROS);
  }

  /** Closes the channel after a time, unless it has been closed by then. */
  private Future<?> closeAfter(long timeoutMicros) {
    Future<?> timer =
        context.executor().schedule(this::closeChannel, timeoutMicros, TimeUnit.MICROSECONDS);
    var unusedCancel = context.channel().closeFuture().addListener(closed -> timer.cancel(false));
    return timer;
  }

  private void closeChannel() {
    // The future is not needed: channelInactive reports the close.
    var unused = context.close();
  }

  /** Returns whether a half-close has been sent, behind all bytes that were written. */
  final boolean isOutputShutDown() {
    return isOutputShutDown;
  }

  /** Closes the channel immediately, even after {@link #halfClose}. */
  final void closeNow() {
    closeChannel();
  }

  /** Calls the listener when the connection is closed in both directions. */
  final void whenClosed(Runnable listener) {
    var unused = context.channel().closeFuture().addListener(closed -> listener.run());
  }

  /**
   * Closes the connection immediately, without calling {@link #onDisconnected}. With unread bytes
   * the peer gets a reset. Idempotent.
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
    unreadBytes.clear();
  }

  final boolean isClosed() {
    return isClosed;
  }
}
