package fawndock.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Bytes that a connection has received and not read yet. The buffer grows with what arrives, by
 * half at least, so that a message that arrives byte by byte is not copied for each of them, and
 * lets go of what has been read. Not thread-safe.
 */
final class UnreadBytes {
  private ByteBuf buffer = Unpooled.EMPTY_BUFFER;

  boolean isEmpty() {
    return !buffer.isReadable();
  }

  /** Returns the bytes of memory that are held. */
  int heldBytes() {
    return buffer.capacity();
  }

  /** Adds a copy of bytes that have arrived. */
  void append(ByteBuf received) {
    int neededBytes = buffer.readableBytes() + received.readableBytes();
    if (buffer.capacity() == 0) {
      buffer = Unpooled.buffer(neededBytes);
    } else if (buffer.capacity() < neededBytes) {
      buffer.capacity(Math.max(neededBytes, buffer.capacity() + buffer.capacity() / 2));
    }
    buffer.writeBytes(received);
  }

  /** Removes and returns all bytes; what is left of them after reading is given to {@link #set}. */
  ByteBuf take() {
    ByteBuf taken = buffer;
    buffer = Unpooled.EMPTY_BUFFER;
    return taken;
  }

  /** Replaces the bytes by those that are unread in a buffer that {@link #take} has returned. */
  void set(ByteBuf remainder) {
    if (!remainder.isReadable()) {
      buffer = Unpooled.EMPTY_BUFFER;
    } else if (remainder.readerIndex() == 0) {
      buffer = remainder;
    } else {
      buffer = Unpooled.EMPTY_BUFFER;
      append(remainder);
    }
  }

  /** Forgets all bytes. */
  void clear() {
    buffer = Unpooled.EMPTY_BUFFER;
  }
}
