package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import org.junit.jupiter.api.Test;

/** Tests writes that fail and writes in pieces. */
class ByteConnectionTest {
  private static final class RecordingConnection extends ByteConnection {
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
