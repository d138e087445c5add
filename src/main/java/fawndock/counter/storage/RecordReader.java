package fawndock.counter.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Reads the records of a segment or snapshot in order, through a window of the file in memory. Used
 * from one thread.
 *
 * <p>Invariant: a record counts as whole only when its length is possible, it ends within the file,
 * its sequence is the next, and its checksum matches.
 */
public final class RecordReader {
  private static final int WINDOW_BYTES = LogFormat.MAX_BODY_BYTES + LogFormat.RECORD_HEADER_BYTES;
  private final Storage.File file;
  private final long sizeBytes;
  private final ByteBuffer window;
  private long windowOffset;
  private long offset = LogFormat.FILE_HEADER_BYTES;
  private long sequence;
  private ByteBuffer body;

  /**
   * @param sequence that the first record must have
   */
  public RecordReader(Storage.File file, long sequence) throws IOException {
    this.file = file;
    this.sizeBytes = file.size();
    this.sequence = sequence - 1;
    window = ByteBuffer.allocate((int) Math.min(2 * WINDOW_BYTES, sizeBytes)).limit(0);
  }

  /** Whether the file begins as such a file must. */
  public boolean matchesHeader(LogFormat.FileKind kind, long first) throws IOException {
    load(0, LogFormat.FILE_HEADER_BYTES);
    return kind.matchesHeader(window.duplicate().position(0).slice(), first);
  }

  /**
   * Goes to the next record; false at the end of the file and at a record that is not whole or out
   * of sequence. Then {@link #offset()} is where that is.
   */
  public boolean next() throws IOException {
    int length = wholeRecordLength(offset, sequence + 1, sequence + 1);
    if (length < 0) {
      return false;
    }
    int place = (int) (offset - windowOffset) + LogFormat.RECORD_HEADER_BYTES;
    body = window.duplicate().limit(place + length).position(place);
    sequence++;
    offset += LogFormat.RECORD_HEADER_BYTES + length;
    return true;
  }

  /** The length of the whole record at an offset whose sequence is in a range, or -1. */
  private int wholeRecordLength(long recordOffset, long least, long most) throws IOException {
    if (sizeBytes - recordOffset <= LogFormat.RECORD_HEADER_BYTES) {
      return -1;
    }
    load(recordOffset, WINDOW_BYTES);
    int place = (int) (recordOffset - windowOffset);
    int length = window.getInt(place);
    long found = window.getLong(place + 8);
    if (length < LogFormat.TIME_BYTES
        || length > LogFormat.MAX_BODY_BYTES
        || found < least
        || found > most
        || length > sizeBytes - recordOffset - LogFormat.RECORD_HEADER_BYTES) {
      return -1;
    }
    return LogFormat.checksum(window, place, length) == window.getInt(place + 4) ? length : -1;
  }

  private void load(long recordOffset, int bytes) throws IOException {
    if (recordOffset >= windowOffset
        && Math.min(sizeBytes, recordOffset + bytes) <= windowOffset + window.limit()) {
      return;
    }
    window.clear();
    file.read(window, recordOffset);
    window.flip();
    windowOffset = recordOffset;
    if (window.limit() < Math.min(bytes, sizeBytes - recordOffset)) {
      throw new IOException(
          "the file ended at " + (recordOffset + window.limit()) + " instead of " + sizeBytes);
    }
  }

  /**
   * Whether any whole record with a later sequence begins after the offset at which reading ended.
   */
  public boolean hasLaterWholeRecord() throws IOException {
    long most = sequence + 1 + (sizeBytes - offset) / LogFormat.RECORD_HEADER_BYTES;
    for (long candidate = offset + 1;
        candidate < sizeBytes - LogFormat.RECORD_HEADER_BYTES;
        candidate++) {
      if (wholeRecordLength(candidate, sequence + 1, most) >= 0) {
        return true;
      }
    }
    return false;
  }

  /** The body of the record that was read last; good until the next is read. */
  public ByteBuffer body() {
    return body.duplicate();
  }

  /** Sequence of the record that was read last. */
  public long sequence() {
    return sequence;
  }

  /** Where the next record begins, in bytes. */
  public long offset() {
    return offset;
  }

  /** Bytes of the file. */
  public long sizeBytes() {
    return sizeBytes;
  }
}
