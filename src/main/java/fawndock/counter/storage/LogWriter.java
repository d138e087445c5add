package fawndock.counter.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Appends records to the newest segment of the write-ahead log. Used from one thread.
 *
 * <p>Invariants: a record that could not be written may be tried again, at the same place; after a
 * sync that failed nothing more is written to the segment, since the system may have dropped the
 * dirty pages and reported it once, so that a later success would prove nothing. The way on is a
 * snapshot of what is in memory, and a new segment.
 */
public final class LogWriter implements AutoCloseable {
  private final Storage storage;
  private Storage.File file;
  private long position;
  private long lastSequence;
  private long appendedBytes;
  private boolean hasUnsyncedRecords;
  private boolean isAbandoned;

  /**
   * Begins a segment.
   *
   * @param sequence of the last record before it
   */
  public LogWriter(Storage storage, long sequence) throws IOException {
    this.storage = storage;
    this.lastSequence = sequence;
    file = createSegment(sequence + 1);
    position = LogFormat.FILE_HEADER_BYTES;
  }

  private Storage.File createSegment(long first) throws IOException {
    Storage.File made = storage.create(LogFormat.FileKind.SEGMENT.fileName(first));
    try {
      made.write(LogFormat.FileKind.SEGMENT.header(first), 0);
      storage.sync(); // Else records in it could be acknowledged, and the file itself be lost.
      return made;
    } catch (IOException e) {
      made.close();
      throw e;
    }
  }

  /**
   * Writes one record, sealed with the next sequence.
   *
   * @throws IOException when it could not be written; the same record may be tried again unless
   *     {@link #isAbandoned}
   */
  public void append(ByteBuffer record) throws IOException {
    requireUsable();
    LogFormat.seal(record, lastSequence + 1);
    int length = record.limit();
    file.write(record.duplicate().position(0), position);
    position += length;
    lastSequence++;
    appendedBytes += length;
    hasUnsyncedRecords = true;
  }

  /** Makes all that was appended outlast a crash. After an error the segment is given up. */
  public void sync() throws IOException {
    requireUsable();
    if (!hasUnsyncedRecords) {
      return;
    }
    try {
      file.sync();
    } catch (IOException e) {
      isAbandoned = true;
      throw e;
    }
    hasUnsyncedRecords = false;
  }

  /**
   * Syncs this segment and begins another, unless this one is still empty; returns the last
   * sequence before it.
   */
  public long roll() throws IOException {
    sync();
    if (position > LogFormat.FILE_HEADER_BYTES) {
      Storage.File next = createNextSegment();
      Storage.File full = file;
      file = next;
      position = LogFormat.FILE_HEADER_BYTES;
      full.close();
    }
    appendedBytes = 0;
    return lastSequence;
  }

  /**
   * Guards against a segment that was made in vain and stays while this one goes on past its first
   * sequence: two files would claim the same records. When it cannot be removed for good, this one
   * is given up.
   */
  private Storage.File createNextSegment() throws IOException {
    try {
      return createSegment(lastSequence + 1);
    } catch (IOException e) {
      isAbandoned = true;
      storage.delete(LogFormat.FileKind.SEGMENT.fileName(lastSequence + 1));
      storage.sync();
      isAbandoned = false;
      throw e;
    }
  }

  private void requireUsable() throws SegmentAbandonedException {
    if (isAbandoned) {
      throw new SegmentAbandonedException();
    }
  }

  /** Whether the segment is given up. */
  public boolean isAbandoned() {
    return isAbandoned;
  }

  /** Sequence of the last record appended. */
  public long lastSequence() {
    return lastSequence;
  }

  /** Bytes appended since the last roll. */
  public long appendedBytes() {
    return appendedBytes;
  }

  /** Closes without syncing; may be called again. */
  @Override
  public void close() throws IOException {
    file.close();
  }
}
