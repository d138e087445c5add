package fawndock.counter.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Reads the records of a segment or snapshot in order, through a buffered window of the file.
 * Confined to one thread.
 *
 * <p>Invariant: a record is valid only if its length is in range, it ends within the file, it has
 * the next sequence number, and its checksum matches.
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
   * @param sequence sequence number that the first record must have
   */
  public RecordReader(Storage.File file, long sequence) throws IOException {
    this.file = file;
    this.sizeBytes = file.size();
    this.sequence = sequence - 1;
    window = ByteBuffer.allocate((int) Math.min(2 * WINDOW_BYTES, sizeBytes)).limit(0);
  }

  /** Returns whether the file starts with the header for its kind and sequence number. */
  public boolean matchesHeader(LogFormat.FileKind kind, long fileSequence) throws IOException {
    load(0, LogFormat.FILE_HEADER_BYTES);
    return kind.matchesHeader(window.duplicate().position(0).slice(), fileSequence);
  }

  /**
   * Advances to the next record; returns false at the end of the file and at an invalid record,
   * whose offset is then {@link #offset()}.
   */
  public boolean next() throws IOException {
    int length = validRecordLength(offset, sequence + 1, sequence + 1);
    if (length < 0) {
      return false;
    }
    int windowIndex = (int) (offset - windowOffset) + LogFormat.RECORD_HEADER_BYTES;
    body = window.duplicate().limit(windowIndex + length).position(windowIndex);
    sequence++;
    offset += LogFormat.RECORD_HEADER_BYTES + length;
    return true;
  }

  /**
   * Returns the body length of the record at an offset, or -1 if it is not valid or its sequence
   * number is outside the range.
   */
  private int validRecordLength(long recordOffset, long minSequence, long maxSequence)
      throws IOException {
    if (sizeBytes - recordOffset <= LogFormat.RECORD_HEADER_BYTES) {
      return -1;
    }
    load(recordOffset, WINDOW_BYTES);
    int windowIndex = (int) (recordOffset - windowOffset);
    int length = window.getInt(windowIndex);
    long recordSequence = window.getLong(windowIndex + 8);
    if (length < LogFormat.TIME_BYTES
        || length > LogFormat.MAX_BODY_BYTES
        || recordSequence < minSequence
        || recordSequence > maxSequence
        || length > sizeBytes - recordOffset - LogFormat.RECORD_HEADER_BYTES) {
      return -1;
    }
    return LogFormat.checksum(window, windowIndex, length) == window.getInt(windowIndex + 4)
        ? length
        : -1;
  }

  private void load(long startOffset, int requiredBytes) throws IOException {
    if (startOffset >= windowOffset
        && Math.min(sizeBytes, startOffset + requiredBytes) <= windowOffset + window.limit()) {
      return;
    }
    window.clear();
    file.read(window, startOffset);
    window.flip();
    windowOffset = startOffset;
    if (window.limit() < Math.min(requiredBytes, sizeBytes - startOffset)) {
      throw new IOException(
          "file ended at offset " + (startOffset + window.limit()) + " instead of " + sizeBytes);
    }
  }

  /**
   * Returns whether a valid record with a later sequence number starts after the offset at which
   * reading ended.
   */
  public boolean hasLaterValidRecord() throws IOException {
    long maxSequence = sequence + 1 + (sizeBytes - offset) / LogFormat.RECORD_HEADER_BYTES;
    for (long candidate = offset + 1;
        candidate < sizeBytes - LogFormat.RECORD_HEADER_BYTES;
        candidate++) {
      if (validRecordLength(candidate, sequence + 1, maxSequence) >= 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns the body of the current record; valid until the next call of {@link #next()}. */
  public ByteBuffer body() {
    return body.duplicate();
  }

  /** Returns the sequence number of the current record. */
  public long sequence() {
    return sequence;
  }

  /** Returns the offset of the next record, in bytes. */
  public long offset() {
    return offset;
  }

  /** Returns the size of the file, in bytes. */
  public long sizeBytes() {
    return sizeBytes;
  }
}
