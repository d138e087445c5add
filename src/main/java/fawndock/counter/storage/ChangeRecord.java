package fawndock.counter.storage;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/**
 * The changes of one record: what each name is afterwards, not what was added, so that a record
 * that is replayed twice does no harm. There is room for the record's header before them.
 */
public final class ChangeRecord {
  /** Longest name, in bytes. */
  public static final int LONGEST_NAME = 1_024;

  /** Most bytes that one change takes. */
  public static final int LONGEST = 19 + LONGEST_NAME;

  private static final byte WHOLE = 1;
  private static final byte FRACTION = 2;
  private static final byte DELETED = 3;
  private static final byte END = 4;
  private static final int START = LogFormat.RECORD_HEADER + LogFormat.TIME;

  /** Is told the changes of a record, in their order. */
  public interface Reader {
    void set(byte[] name, DecimalAmount amount, long expiry);

    void deleted(byte[] name);

    /** The end of a snapshot that has so many names. */
    void end(long names);
  }

  private ByteBuffer bytes;
  private int many;

  /**
   * @param size bytes to begin with; it grows up to a record's longest body
   */
  public ChangeRecord(int size) {
    bytes = ByteBuffer.allocate(START + size).position(START);
  }

  /** Whether so many more bytes of changes fit in one record. */
  public boolean room(long more) {
    return bytes.position() - LogFormat.RECORD_HEADER + more <= LogFormat.LONGEST_BODY;
  }

  public boolean isEmpty() {
    return many == 0;
  }

  /** Bytes of the changes. */
  public int size() {
    return bytes.position() - START;
  }

  public void set(byte[] name, DecimalAmount amount, long expiry) {
    need(19 + name.length);
    bytes
        .put(amount.fraction() ? FRACTION : WHOLE)
        .putShort((short) name.length)
        .put(name)
        .putLong(amount.digits())
        .putLong(expiry);
    many++;
  }

  public void deleted(byte[] name) {
    need(3 + name.length);
    bytes.put(DELETED).putShort((short) name.length).put(name);
    many++;
  }

  void end(long names) {
    need(9);
    bytes.put(END).putLong(names);
    many++;
  }

  private void need(int more) {
    if (bytes.remaining() < more) {
      ByteBuffer larger =
          ByteBuffer.allocate(Math.max(bytes.capacity() * 2, bytes.position() + more));
      bytes = larger.put(bytes.flip());
    }
  }

  /**
   * The record, all but its sealing, with the time at which it was made, in milliseconds since
   * 1970.
   */
  public ByteBuffer record(long time) {
    return bytes.duplicate().flip().putLong(LogFormat.RECORD_HEADER, time);
  }

  public void clear() {
    bytes.position(START);
    many = 0;
  }

  /**
   * Tells the changes in a body, and returns its time.
   *
   * @throws IllegalArgumentException when a change is none; some may have been told by then
   */
  public static long read(ByteBuffer body, Reader to) {
    try {
      long time = body.getLong();
      while (body.hasRemaining()) {
        byte kind = body.get();
        switch (kind) {
          case WHOLE, FRACTION -> {
            byte[] name = name(body);
            to.set(name, new DecimalAmount(body.getLong(), kind == FRACTION), body.getLong());
          }
          case DELETED -> to.deleted(name(body));
          case END -> to.end(body.getLong());
          default -> throw new IllegalArgumentException("a change of kind " + kind);
        }
      }
      return time;
    } catch (BufferUnderflowException e) {
      throw new IllegalArgumentException("a change that is cut short", e);
    }
  }

  private static byte[] name(ByteBuffer body) {
    int length = body.getShort() & 0xFFFF;
    if (length > body.remaining()) {
      throw new BufferUnderflowException();
    }
    byte[] name = new byte[length];
    body.get(name);
    return name;
  }
}
