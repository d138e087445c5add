package fawndock.counter.storage;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/**
 * Buffer for the changes of one log or snapshot record, with space reserved for the record header.
 * Not thread-safe.
 *
 * <p>Invariant: a change stores the resulting value of a name, not the increment, so that replaying
 * a record is idempotent.
 *
 * <table>
 *   <caption>Encoding of a change</caption>
 *   <tr><th>bytes</th><th>content</th></tr>
 *   <tr><td>1</td><td>kind: 1 integer, 2 fraction, 3 deletion, 4 end of a snapshot</td></tr>
 *   <tr><td>2</td><td>kinds 1 to 3: length of the name</td></tr>
 *   <tr><td></td><td>kinds 1 to 3: the name</td></tr>
 *   <tr><td>8</td><td>kinds 1 and 2: the integer, or the fraction in units of 10^-9</td></tr>
 *   <tr><td>8</td><td>kinds 1 and 2: expiry in milliseconds since 1970, 0 for none</td></tr>
 *   <tr><td>8</td><td>kind 4: number of names in the snapshot</td></tr>
 * </table>
 */
public final class ChangeRecord {
  /** Maximum length of a name, in bytes. */
  public static final int MAX_NAME_BYTES = 1_024;

  /** Bytes of an amount change in addition to the name: kind, length, amount, expiry. */
  static final int AMOUNT_CHANGE_OVERHEAD_BYTES = 1 + 2 + 8 + 8;

  /** Maximum size of one change, in bytes. */
  public static final int MAX_CHANGE_BYTES = AMOUNT_CHANGE_OVERHEAD_BYTES + MAX_NAME_BYTES;

  private static final int DELETED_OVERHEAD_BYTES = 1 + 2;
  private static final int SNAPSHOT_END_BYTES = 1 + 8;

  private static final byte KIND_INTEGER = 1;
  private static final byte KIND_FRACTION = 2;
  private static final byte KIND_DELETED = 3;
  private static final byte KIND_SNAPSHOT_END = 4;
  private static final int CHANGES_OFFSET = LogFormat.RECORD_HEADER_BYTES + LogFormat.TIME_BYTES;

  /** Receives the changes of a record in order. */
  public interface Visitor {
    void onAmount(byte[] name, DecimalAmount amount, long expiryMillis);

    void onDeleted(byte[] name);

    /** Receives the end of a snapshot that contains this number of names. */
    void onSnapshotEnd(long nameCount);
  }

  private ByteBuffer buffer;
  private int changeCount;

  /**
   * @param initialBytes initial capacity; the buffer grows up to the maximum body of a record
   */
  public ChangeRecord(int initialBytes) {
    buffer = ByteBuffer.allocate(CHANGES_OFFSET + initialBytes).position(CHANGES_OFFSET);
  }

  /** Returns whether this number of additional bytes of changes fits in this record. */
  public boolean hasCapacityFor(long bytes) {
    return buffer.position() - LogFormat.RECORD_HEADER_BYTES + bytes <= LogFormat.MAX_BODY_BYTES;
  }

  public boolean isEmpty() {
    return changeCount == 0;
  }

  /** Returns the size of the changes, in bytes. */
  public int sizeBytes() {
    return buffer.position() - CHANGES_OFFSET;
  }

  public void putAmount(byte[] name, DecimalAmount amount, long expiryMillis) {
    ensureCapacity(AMOUNT_CHANGE_OVERHEAD_BYTES + name.length);
    buffer
        .put(amount.isFraction() ? KIND_FRACTION : KIND_INTEGER)
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

  void putSnapshotEnd(long nameCount) {
    ensureCapacity(SNAPSHOT_END_BYTES);
    buffer.put(KIND_SNAPSHOT_END).putLong(nameCount);
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
   * Returns the record with its creation time in milliseconds since 1970; {@link LogFormat#seal}
   * still has to fill in its header.
   */
  public ByteBuffer toRecord(long timeMillis) {
    return buffer.duplicate().flip().putLong(LogFormat.RECORD_HEADER_BYTES, timeMillis);
  }

  public void clear() {
    buffer.position(CHANGES_OFFSET);
    changeCount = 0;
  }

  /**
   * Passes the changes in a record body to a visitor and returns the time of the record in
   * milliseconds since 1970.
   *
   * @throws IllegalArgumentException when a change cannot be decoded; the visitor may have received
   *     the changes before it
   */
  public static long visitBody(ByteBuffer body, Visitor visitor) {
    try {
      long timeMillis = body.getLong();
      while (body.hasRemaining()) {
        byte kind = body.get();
        switch (kind) {
          case KIND_INTEGER, KIND_FRACTION -> {
            byte[] name = readName(body);
            visitor.onAmount(
                name, new DecimalAmount(body.getLong(), kind == KIND_FRACTION), body.getLong());
          }
          case KIND_DELETED -> visitor.onDeleted(readName(body));
          case KIND_SNAPSHOT_END -> visitor.onSnapshotEnd(body.getLong());
          default -> throw new IllegalArgumentException("change of unknown kind " + kind);
        }
      }
      return timeMillis;
    } catch (BufferUnderflowException e) {
      throw new IllegalArgumentException("truncated change", e);
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
