package fawndock.counter.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * How log and snapshot look on disk; the tables are in docs/design/counter.md. Numbers are
 * big-endian.
 */
public final class LogFormat {
  /** Bytes before the first record of a file. */
  public static final int FILE_HEADER_BYTES = 16;

  /** Bytes of a record before its body: length, checksum, sequence. */
  public static final int RECORD_HEADER_BYTES = 16;

  /** Longest body of a record. */
  public static final int MAX_BODY_BYTES = 1 << 20;

  /** Bytes of a body before its changes: the time in milliseconds since 1970. */
  public static final int TIME_BYTES = 8;

  private static final int VERSION = 1;
  private static final String DIGITS = "%020d";

  private LogFormat() {}

  /** What a file is, told by its first bytes. */
  public enum FileKind {
    SEGMENT(0x4644434C, "segment-", ".log"),
    SNAPSHOT(0x46444353, "snapshot-", ".snap");

    private final int magic;
    private final String prefix;
    private final String suffix;

    FileKind(int magic, String prefix, String suffix) {
      this.magic = magic;
      this.prefix = prefix;
      this.suffix = suffix;
    }

    /** The name of the file with this sequence. */
    public String fileName(long sequence) {
      return prefix + String.format(DIGITS, sequence) + suffix;
    }

    /** The sequence in a file's name, or -1 when it is not one of this kind. */
    public long sequenceOf(String file) {
      int most = prefix.length() + 20;
      if (!file.startsWith(prefix)
          || !file.endsWith(suffix)
          || file.length() != most + suffix.length()
          || !file.substring(prefix.length(), most).matches("0[0-9]{19}")) {
        return -1;
      }
      return Long.parseLong(file.substring(prefix.length(), most));
    }

    /** The first bytes of a file. */
    public ByteBuffer header(long sequence) {
      return ByteBuffer.allocate(FILE_HEADER_BYTES)
          .putInt(magic)
          .putInt(VERSION)
          .putLong(sequence)
          .flip();
    }

    /** Whether these are the first bytes of this kind's file with this sequence. */
    public boolean matchesHeader(ByteBuffer header, long sequence) {
      return header.remaining() >= FILE_HEADER_BYTES
          && header.getInt(0) == magic
          && header.getInt(4) == VERSION
          && header.getLong(8) == sequence;
    }
  }

  /**
   * Fills in the header of a record whose body is already there; position 0 to limit is the whole
   * record.
   */
  public static void seal(ByteBuffer record, long sequence) {
    int length = record.limit() - RECORD_HEADER_BYTES;
    record.putInt(0, length).putLong(8, sequence).putInt(4, checksum(record, 0, length));
  }

  /** The checksum of the record at this place, over length, sequence and body. */
  static int checksum(ByteBuffer bytes, int at, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes.duplicate().limit(at + 4).position(at));
    crc.update(bytes.duplicate().limit(at + RECORD_HEADER_BYTES + length).position(at + 8));
    return (int) crc.getValue();
  }
}
