package fawndock.counter.storage;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/**
 * The changes of one record, after the space for the record's header. Used from one thread.
 *
 * <p>Invariant: a change holds what a name is after it, not what was added, so that a record may be
 * replayed twice.
 *
 * <table>
 *   <caption>A change</caption>
 *   <tr><th>bytes</th><th>what</th></tr>
 *   <tr><td>1</td><td>kind: 1 a whole number, 2 a fraction, 3 deleted, 4 the end of a snapshot</td></tr>
 *   <tr><td>2</td><td>kinds 1 to 3: length of the name</td></tr>
 *   <tr><td></td><td>kinds 1 to 3: the name</td></tr>
 *   <tr><td>8</td><td>kinds 1 and 2: the number, or the fraction in units of 10^-9</td></tr>
 *   <tr><td>8</td><td>kinds 1 and 2: expiry in milliseconds since 1970, 0 for none</td></tr>
 *   <tr><td>8</td><td>kind 4: number of names in the snapshot</td></tr>
 * </table>
 */
public final class ChangeRecord {
  /** Longest name, in bytes. */
  public static final int MAX_NAME_BYTES = 1_024;

  /** Bytes of an amount's change besides the name: kind, length, amount, expiry. */
  static final int AMOUNT_CHANGE_OVERHEAD_BYTES = 1 + 2 + 8 + 8;

  /** Most bytes that one change takes. */
  public static final int MAX_CHANGE_BYTES = AMOUNT_CHANGE_OVERHEAD_BYTES + MAX_NAME_BYTES;

  private static final int DELETED_OVERHEAD_BYTES = 1 + 2;
  private static final int SNAPSHOT_END_BYTES = 1 + 8;

  private static final byte KIND_WHOLE = 1;
  private static final byte KIND_FRACTION = 2;
  private static final byte KIND_DELETED = 3;
  private static final byte KIND_SNAPSHOT_END = 4;
  private static final int CHANGES_OFFSET = LogFormat.RECORD_HEADER_BYTES + LogFormat.TIME_BYTES;

  /** Is called with the changes of a record, in their order. */
  public interface Visitor {
    void onAmount(byte[] name, DecimalAmount amount, long expiryMillis);

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

  /** Whether so many more bytes of changes fit in this record. */
  public boolean hasCapacityFor(long bytes) {
    return buffer.position() - LogFormat.RECORD_HEADER_BYTES + bytes <= LogFormat.MAX_BODY_BYTES;
  }

  public boolean isEmpty() {
    return changeCount == 0;
  }

  /** Bytes of the changes. */
  public int sizeBytes() {
    return buffer.position() - CHANGES_OFFSET;
  }

  public void putAmount(byte[] name, DecimalAmount amount, long expiryMillis) {
    ensureCapacity(AMOUNT_CHANGE_OVERHEAD_BYTES + name.length);
    buffer
        .put(amount.isFraction() ? KIND_FRACTION : KIND_WHOLE)
        .putShort((short) name.length)
        .put(name)
        .putLong(amount.unscaledValue())
        .putLong(expiryMillis);
    changeCount++;
  }

  public void putDeleted(byte[] name) {
    ensureCapacity(DELETED_OVERHEAD_BYTES + name.length);
    buffer.put(KIND_DELETED).putShort((short) name.length).put(name);
    changeCount++;
  }

  void putSnapshotEnd(long names) {
    ensureCapacity(SNAPSHOT_END_BYTES);
    buffer.put(KIND_SNAPSHOT_END).putLong(names);
    changeCount++;
  }

  private void ensureCapacity(int bytes) {
    if (buffer.remaining() < bytes) {
      ByteBuffer larger =
          ByteBuffer.allocate(Math.max(buffer.capacity() * 2, buffer.position() + bytes));
      buffer = larger.put(buffer.flip());
    }
  }

  /**
   * The record, all but its sealing, with the time at which it was made, in milliseconds since
   * 1970.
   */
  public ByteBuffer toRecord(long timeMillis) {
    return buffer.duplicate().flip().putLong(LogFormat.RECORD_HEADER_BYTES, timeMillis);
  }

  public void clear() {
    buffer.position(CHANGES_OFFSET);
    changeCount = 0;
  }

  /**
   * Shows the changes in a body, and returns its time in milliseconds since 1970.
   *
   * @throws IllegalArgumentException when a change cannot be read; some may have been shown by then
   */
  public static long visitBody(ByteBuffer body, Visitor visitor) {
    try {
      long timeMillis = body.getLong();
      while (body.hasRemaining()) {
        byte kind = body.get();
        switch (kind) {
          case KIND_WHOLE, KIND_FRACTION -> {
            byte[] name = readName(body);
            visitor.onAmount(
                name, new DecimalAmount(body.getLong(), kind == KIND_FRACTION), body.getLong());
          }
          case KIND_DELETED -> visitor.onDeleted(readName(body));
          case KIND_SNAPSHOT_END -> visitor.onSnapshotEnd(body.getLong());
          default -> throw new IllegalArgumentException("a change of kind " + kind);
        }
      }
      return timeMillis;
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
