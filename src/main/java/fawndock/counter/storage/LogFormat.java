package fawndock.counter.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * On-disk format of log segments and snapshots. Existing files depend on it: do not change it
 * without raising the version. Numbers are big-endian.
 *
 * <table>
 *   <caption>A file: a header, then records without gaps</caption>
 *   <tr><th>offset</th><th>bytes</th><th>what</th></tr>
 *   <tr><td>0</td><td>4</td><td>{@code FDCL} for a segment, {@code FDCS} for a snapshot</td></tr>
 *   <tr><td>4</td><td>4</td><td>version of the format, 1</td></tr>
 *   <tr><td>8</td><td>8</td><td>sequence in the file's name: of a segment's first record, or of the
 *       last record that a snapshot covers</td></tr>
 * </table>
 *
 * <table>
 *   <caption>A record; a snapshot's are numbered from 1</caption>
 *   <tr><th>offset</th><th>bytes</th><th>what</th></tr>
 *   <tr><td>0</td><td>4</td><td>length n of the body, 8 to 1 MiB</td></tr>
 *   <tr><td>4</td><td>4</td><td>CRC32C of length, sequence and body</td></tr>
 *   <tr><td>8</td><td>8</td><td>sequence, one above the record before</td></tr>
 *   <tr><td>16</td><td>8</td><td>body: time in milliseconds since 1970</td></tr>
 *   <tr><td>24</td><td>n - 8</td><td>body: changes, see {@link ChangeRecord}</td></tr>
 * </table>
 *
 * <p>The same tables stand in docs/design/counter.md.
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

  private static final int CHECKSUM_OFFSET = 4;
  private static final int SEQUENCE_OFFSET = 8;
  private static final int VERSION = 1;
  private static final int SEQUENCE_DIGITS = 20;

  private LogFormat() {}

  /** What a file is, told by its name and its first bytes. */
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
      return prefix + String.format("%020d", sequence) + suffix;
    }

    /** The sequence in a file's name, or -1 when it is not one of this kind. */
    public long sequenceOf(String fileName) {
      int sequenceEnd = prefix.length() + SEQUENCE_DIGITS;
      if (!fileName.startsWith(prefix)
          || !fileName.endsWith(suffix)
          || fileName.length() != sequenceEnd + suffix.length()
          || !fileName.substring(prefix.length(), sequenceEnd).matches("0[0-9]{19}")) {
        return -1;
      }
      return Long.parseLong(fileName.substring(prefix.length(), sequenceEnd));
    }

    /** The names of the files of this kind in a storage, by their sequences. */
    public NavigableMap<Long, String> filesBySequence(Storage storage) throws IOException {
      NavigableMap<Long, String> files = new TreeMap<>();
      for (String name : storage.list()) {
        long sequence = sequenceOf(name);
        if (sequence >= 0) {
          files.put(sequence, name);
        }
      }
      return files;
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
    record.putInt(0, length).putLong(SEQUENCE_OFFSET, sequence);
    record.putInt(CHECKSUM_OFFSET, checksum(record, 0, length));
  }

  /** The checksum of the record at this offset, over length, sequence and body. */
  static int checksum(ByteBuffer bytes, int at, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes.duplicate().limit(at + CHECKSUM_OFFSET).position(at));
    int end = at + RECORD_HEADER_BYTES + length;
    crc.update(bytes.duplicate().limit(end).position(at + SEQUENCE_OFFSET));
    return (int) crc.getValue();
  }
}
