package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.settings.Address;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests writes that fail and writes in pieces. */
class ByteConnectionTest {
  private static class RecordingConnection extends ByteConnection {
    private boolean isDisconnected;

    @Override
    void onBytes(ByteBuf in) {
      in.skipBytes(in.readableBytes());
    }

    @Override
    void onDisconnected() {
      isDisconnected = true;
    }
  }

  /** Fails each write before it reaches the channel, and leaves the channel open. */
  private static final class FailingWrites extends ChannelOutboundHandlerAdapter {
    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      promise.setFailure(new OutOfMemoryError("no direct memory"));
    }
  }

  /** A socket that takes a limited number of bytes at once. */
  private static final class SlowSocket implements WritableByteChannel {
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private int largestWrite;

    @Override
    public int write(ByteBuffer source) {
      largestWrite = Math.max(largestWrite, source.remaining());
      byte[] bytes = new byte[Math.min(1_000, source.remaining())];
      source.get(bytes);
      received.writeBytes(bytes);
      return bytes.length;
    }

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public void close() {}
  }

  /** Holds all writes back until they are released, as for a peer that does not read. */
  private static final class HeldWrites extends ChannelOutboundHandlerAdapter {
    private final List<Runnable> writes = new ArrayList<>();

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      writes.add(
          () -> {
            var unused = context.writeAndFlush(message, promise);
          });
    }

    private void release() {
      writes.forEach(Runnable::run);
    }
  }

  /**
   * Accepts one connection that sends some bytes and is then half-closed, although they are held
   * back for a time; returns what the peer gets.
   */
  private static byte[] receiveHalfClosed(long heldMillis, int unreadBytes) throws Exception {
    Vertx vertx = Vertx.vertx();
    HeldWrites heldWrites = new HeldWrites();
    try {
      Context context = vertx.getOrCreateContext();
      CompletableFuture<Integer> port = new CompletableFuture<>();
      context.runOnContext(v -> listen(context, heldWrites, port));
      try (Socket peer = new Socket("127.0.0.1", port.get(10, TimeUnit.SECONDS))) {
        peer.getOutputStream().write(new byte[unreadBytes]);
        Thread.sleep(heldMillis);
        context.runOnContext(v -> heldWrites.release());
        return peer.getInputStream().readAllBytes();
      }
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
  }

  private static void listen(
      Context context, HeldWrites heldWrites, CompletableFuture<Integer> port) {
    listen(
        context,
        port,
        new RecordingConnection() {
          @Override
          public void channelActive(ChannelHandlerContext handlerContext) {
            handlerContext.pipeline().addFirst(heldWrites);
            var unusedSend = send(Unpooled.wrappedBuffer(new byte[] {1, 2, 3}));
            halfClose(4_000_000);
          }
        });
  }

  private static void listen(
      Context context, CompletableFuture<Integer> port, RecordingConnection connection) {
    ChannelFuture bound =
        new TcpTransport(context).listen(new Address("127.0.0.1", 0), () -> connection);
    bound.addListener(
        done -> port.complete(((InetSocketAddress) bound.channel().localAddress()).getPort()));
  }

  /** Counts the bytes of the first turn, which begins when the peer has sent many. */
  private static final class CountingConnection extends RecordingConnection {
    private final CountDownLatch hasAccepted = new CountDownLatch(1);
    private final CountDownLatch hasSent = new CountDownLatch(1);
    private final CompletableFuture<Integer> firstTurnBytes = new CompletableFuture<>();
    private int receivedBytes;

    @Override
    public void channelActive(ChannelHandlerContext handlerContext) {
      hasAccepted.countDown();
      Await.latch(hasSent);
    }

    @Override
    void onBytes(ByteBuf in) {
      receivedBytes += in.readableBytes();
      in.skipBytes(in.readableBytes());
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext handlerContext) {
      firstTurnBytes.complete(receivedBytes);
    }
  }

  /** Guards against a client that sends at full speed and holds up all others in each turn. */
  @Test
  void readsOfOneTurn_areBoundedForEachConnection() throws Exception {
    Vertx vertx = Vertx.vertx();
    CountingConnection connection = new CountingConnection();
    try {
      Context context = vertx.getOrCreateContext();
      CompletableFuture<Integer> port = new CompletableFuture<>();
      context.runOnContext(v -> listen(context, port, connection));
      try (Socket peer = new Socket("127.0.0.1", port.get(10, TimeUnit.SECONDS))) {
        connection.hasAccepted.await();
        CompletableFuture<Void> sent =
            CompletableFuture.runAsync(
                () -> {
                  try {
                    peer.getOutputStream().write(new byte[1 << 20]);
                  } catch (IOException e) {
                    throw new IllegalStateException(e);
                  }
                });
        Thread.sleep(300); // The bytes fill the socket's buffer.
        connection.hasSent.countDown();
        int bytes = connection.firstTurnBytes.get(10, TimeUnit.SECONDS);
        assertTrue(bytes > 0 && bytes <= 128 << 10, () -> bytes + " bytes");
        sent.get(10, TimeUnit.SECONDS);
      }
    } finally {
      connection.hasSent.countDown();
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
  }

  /** Guards against a close 1 s after a half-close whose bytes the peer has not read yet. */
  @Test
  void halfClose_waitsForThePeerToReadWhatWasWritten() throws Exception {
    assertArrayEquals(new byte[] {1, 2, 3}, receiveHalfClosed(1_600, 0));
  }

  /** Guards against a reset by a peer's unread bytes while the last bytes were still to be sent. */
  @Test
  void halfClose_withManyBytesUnread_sendsWhatWasWritten() throws Exception {
    assertArrayEquals(new byte[] {1, 2, 3}, receiveHalfClosed(300, 600_000));
  }

  /** Guards against bytes that go missing in the middle of a connection that stays open. */
  @Test
  void failedWrite_closesTheConnection() {
    RecordingConnection connection = new RecordingConnection();
    EmbeddedChannel channel = new EmbeddedChannel(new FailingWrites(), connection);
    assertFalse(connection.send(Unpooled.wrappedBuffer(new byte[] {1})).isSuccess());
    channel.runPendingTasks();
    assertFalse(channel.isOpen());
    assertTrue(connection.isDisconnected);
  }

  @Test
  void outboundBytes_areTransferredInBoundedPieces() throws IOException {
    byte[] bytes = new byte[200_000];
    for (int i = 0; i < bytes.length; i++) {
      bytes[i] = (byte) (i * 31);
    }
    OutboundBytes outbound =
        new OutboundBytes(
            Unpooled.wrappedBuffer(
                Unpooled.wrappedBuffer(bytes, 0, 70_000),
                Unpooled.wrappedBuffer(bytes, 70_000, 130_000)));
    SlowSocket socket = new SlowSocket();
    while (outbound.transferred() < outbound.count()) {
      outbound.transferTo(socket, outbound.transferred());
    }
    assertArrayEquals(bytes, socket.received.toByteArray());
    assertEquals(64 << 10, socket.largestWrite);
  }
}
