package fawndock.counter.storage;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/**
 * The changes of one record: what each name is afterwards, not what was added, so that a record
 * that is replayed twice does no harm. There is room for the record's header before them.
 */
public final class ChangeRecord {
  /** Longest name, in bytes. */
  public static final int MAX_NAME_BYTES = 1_024;

  /** Most bytes that one change takes. */
  public static final int MAX_CHANGE_BYTES = 19 + MAX_NAME_BYTES;

  private static final byte KIND_WHOLE = 1;
  private static final byte KIND_FRACTION = 2;
  private static final byte KIND_DELETED = 3;
  private static final byte KIND_SNAPSHOT_END = 4;
  private static final int CHANGES_OFFSET = LogFormat.RECORD_HEADER_BYTES + LogFormat.TIME_BYTES;

  /** Is told the changes of a record, in their order. */
  public interface Visitor {
    void onAmount(byte[] name, DecimalAmount amount, long expiry);

    void onDeleted(byte[] name);

    /** The end of a snapshot that has so many names. */
    void onSnapshotEnd(long names);
  }

  private ByteBuffer buffer;
  private int changeCount;

  /**
   * @param size bytes to begin with; it grows up to a record's longest body
   */
  public ChangeRecord(int size) {
    buffer = ByteBuffer.allocate(CHANGES_OFFSET + size).position(CHANGES_OFFSET);
  }

  /** Whether so many more bytes of changes fit in one record. */
  public boolean hasCapacityFor(long more) {
    return buffer.position() - LogFormat.RECORD_HEADER_BYTES + more <= LogFormat.MAX_BODY_BYTES;
  }

  public boolean isEmpty() {
    return changeCount == 0;
  }

  /** Bytes of the changes. */
  public int sizeBytes() {
    return buffer.position() - CHANGES_OFFSET;
  }

  public void putAmount(byte[] name, DecimalAmount amount, long expiry) {
    ensureCapacity(19 + name.length);
    buffer
        .put(amount.isFraction() ? KIND_FRACTION : KIND_WHOLE)
        .putShort((short) name.length)
        .put(name)
        .putLong(amount.digits())
        .putLong(expiry);
    changeCount++;
  }

  public void putDeleted(byte[] name) {
    ensureCapacity(3 + name.length);
    buffer.put(KIND_DELETED).putShort((short) name.length).put(name);
    changeCount++;
  }

  void putSnapshotEnd(long names) {
    ensureCapacity(9);
    buffer.put(KIND_SNAPSHOT_END).putLong(names);
    changeCount++;
  }

  private void ensureCapacity(int more) {
    if (buffer.remaining() < more) {
      ByteBuffer larger =
          ByteBuffer.allocate(Math.max(buffer.capacity() * 2, buffer.position() + more));
      buffer = larger.put(buffer.flip());
    }
  }

  /**
   * The record, all but its sealing, with the time at which it was made, in milliseconds since
   * 1970.
   */
  public ByteBuffer toRecord(long time) {
    return buffer.duplicate().flip().putLong(LogFormat.RECORD_HEADER_BYTES, time);
  }

  public void clear() {
    buffer.position(CHANGES_OFFSET);
    changeCount = 0;
  }

  /**
   * Tells the changes in a body, and returns its time.
   *
   * @throws IllegalArgumentException when a change is none; some may have been told by then
   */
  public static long visitBody(ByteBuffer body, Visitor to) {
    try {
      long time = body.getLong();
      while (body.hasRemaining()) {
        byte kind = body.get();
        switch (kind) {
          case KIND_WHOLE, KIND_FRACTION -> {
            byte[] name = readName(body);
            to.onAmount(
                name, new DecimalAmount(body.getLong(), kind == KIND_FRACTION), body.getLong());
          }
          case KIND_DELETED -> to.onDeleted(readName(body));
          case KIND_SNAPSHOT_END -> to.onSnapshotEnd(body.getLong());
          default -> throw new IllegalArgumentException("a change of kind " + kind);
        }
      }
      return time;
    } catch (BufferUnderflowException e) {
      throw new IllegalArgumentException("a change that is cut short", e);
    }
  }

  private static byte[] readName(ByteBuffer body) {
    int length = body.getShort() & 0xFFFF;
    if (length > body.remaining()) {
      throw new BufferUnderflowException();
    }
    byte[] name = new byte[length];
    body.get(name);
    return name;
  }
}
