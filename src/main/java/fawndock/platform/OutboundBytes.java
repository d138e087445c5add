package fawndock.platform;

import io.netty.buffer.ByteBuf;
import io.netty.channel.DefaultMessageSizeEstimator;
import io.netty.channel.FileRegion;
import io.netty.channel.MessageSizeEstimator;
import io.netty.util.AbstractReferenceCounted;
import java.io.IOException;
import java.nio.channels.WritableByteChannel;

/**
 * Bytes on the heap that are written to a socket in bounded pieces. Netty copies a heap buffer that
 * is written as such to direct memory as a whole, and keeps the copy until the peer has read it. A
 * {@link FileRegion} writes itself, so it needs direct memory for one piece, and only during the
 * system call. Confined to one event loop.
 */
final class OutboundBytes extends AbstractReferenceCounted implements FileRegion {
  /**
   * Maximum bytes of one system call, which the JDK copies to a buffer of the thread in direct
   * memory.
   */
  private static final int MAX_WRITE_BYTES = 64 << 10;

  /** Counts the bytes towards the channel's write buffer water marks, as those of a buffer. */
  static final MessageSizeEstimator SIZE_ESTIMATOR =
      () -> {
        MessageSizeEstimator.Handle others = DefaultMessageSizeEstimator.DEFAULT.newHandle();
        return message ->
            message instanceof OutboundBytes bytes ? (int) bytes.count() : others.size(message);
      };

  private final ByteBuf content;
  private final int startIndex;
  private final int count;
  private int transferredCount;

  /** Wraps a buffer, which must not be changed afterwards. */
  OutboundBytes(ByteBuf content) {
    this.content = content;
    startIndex = content.readerIndex();
    count = content.readableBytes();
  }

  /** Returns the buffer with all bytes, including those that have been transferred. */
  ByteBuf content() {
    return content;
  }

  @Override
  public long transferTo(WritableByteChannel target, long position) throws IOException {
    int offset = (int) position;
    int length = Math.min(MAX_WRITE_BYTES, count - offset);
    int writtenCount = target.write(content.nioBuffer(startIndex + offset, length));
    if (writtenCount > 0) {
      transferredCount += writtenCount;
    }
    return writtenCount;
  }

  @Override
  public long position() {
    return 0;
  }

  @Override
  public long transferred() {
    return transferredCount;
  }

  @Deprecated
  @Override
  public long transfered() {
    return transferred();
  }

  @Override
  public long count() {
    return count;
  }

  @Override
  protected void deallocate() {
    content.release();
  }

  @Override
  public OutboundBytes retain() {
    super.retain();
    return this;
  }

  @Override
  public OutboundBytes retain(int increment) {
    super.retain(increment);
    return this;
  }

  @Override
  public OutboundBytes touch() {
    return this;
  }

  @Override
  public OutboundBytes touch(Object hint) {
    return this;
  }
}
