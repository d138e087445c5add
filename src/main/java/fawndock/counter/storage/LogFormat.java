package fawndock.counter.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * On-disk format of log segments and snapshots. Stored files depend on it: a change of the format
 * requires a new version number. Integers are big-endian.
 *
 * <table>
 *   <caption>A file: a header followed by contiguous records</caption>
 *   <tr><th>offset</th><th>bytes</th><th>content</th></tr>
 *   <tr><td>0</td><td>4</td><td>{@code FDCL} for a segment, {@code FDCS} for a snapshot</td></tr>
 *   <tr><td>4</td><td>4</td><td>format version, 1</td></tr>
 *   <tr><td>8</td><td>8</td><td>sequence number in the file name: of the first record of a
 *       segment, or of the last record that a snapshot covers</td></tr>
 * </table>
 *
 * <table>
 *   <caption>A record; the records of a snapshot are numbered from 1</caption>
 *   <tr><th>offset</th><th>bytes</th><th>content</th></tr>
 *   <tr><td>0</td><td>4</td><td>length n of the body, 8 bytes to 1 MiB</td></tr>
 *   <tr><td>4</td><td>4</td><td>CRC32C of length, sequence and body</td></tr>
 *   <tr><td>8</td><td>8</td><td>sequence number, one higher than in the previous record</td></tr>
 *   <tr><td>16</td><td>8</td><td>body: time in milliseconds since 1970</td></tr>
 *   <tr><td>24</td><td>n - 8</td><td>body: changes, see {@link ChangeRecord}</td></tr>
 * </table>
 *
 * <p>docs/design/counter.md contains the same tables.
 */
public final class LogFormat {
  /** Size of the header of a file, in bytes. */
  public static final int FILE_HEADER_BYTES = 16;

  /** Size of the header of a record, in bytes: length, checksum, sequence number. */
  public static final int RECORD_HEADER_BYTES = 16;

  /** Maximum size of the body of a record, in bytes. */
  public static final int MAX_BODY_BYTES = 1 << 20;

  /** Size of the time at the start of a body, in bytes; the time is in milliseconds since 1970. */
  public static final int TIME_BYTES = 8;

  private static final int CHECKSUM_OFFSET = 4;
  private static final int SEQUENCE_OFFSET = 8;
  private static final int VERSION = 1;
  private static final int SEQUENCE_DIGITS = 20;

  private LogFormat() {}

  /** Kind of a stored file, identified by its name and its header. */
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

    /** Returns the name of the file with this sequence number. */
    public String fileName(long sequence) {
      return prefix + String.format("%020d", sequence) + suffix;
    }

    /** Returns the sequence number in a file name, or -1 if the file is not of this kind. */
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

    /** Returns the names of the files of this kind in a storage, by sequence number. */
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

    /** Returns the header of the file with this sequence number. */
    public ByteBuffer header(long sequence) {
      return ByteBuffer.allocate(FILE_HEADER_BYTES)
          .putInt(magic)
          .putInt(VERSION)
          .putLong(sequence)
          .flip();
    }

    /** Returns whether this is the header of the file of this kind with this sequence number. */
    public boolean matchesHeader(ByteBuffer header, long sequence) {
      return header.remaining() >= FILE_HEADER_BYTES
          && header.getInt(0) == magic
          && header.getInt(4) == VERSION
          && header.getLong(8) == sequence;
    }
  }

  /**
   * Fills in the header of a record that already contains its body; the record extends from
   * position 0 to the limit.
   */
  public static void seal(ByteBuffer record, long sequence) {
    int length = record.limit() - RECORD_HEADER_BYTES;
    record.putInt(0, length).putLong(SEQUENCE_OFFSET, sequence);
    record.putInt(CHECKSUM_OFFSET, checksum(record, 0, length));
  }

  /**
   * Returns the checksum of the record at this offset over its length, sequence number and body.
   */
  static int checksum(ByteBuffer buffer, int recordOffset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(buffer.duplicate().limit(recordOffset + CHECKSUM_OFFSET).position(recordOffset));
    int recordEnd = recordOffset + RECORD_HEADER_BYTES + length;
    crc.update(buffer.duplicate().limit(recordEnd).position(recordOffset + SEQUENCE_OFFSET));
    return (int) crc.getValue();
  }
}
