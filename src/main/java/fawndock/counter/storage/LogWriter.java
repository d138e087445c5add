package fawndock.counter.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Appends records to the newest segment of the write-ahead log. Confined to one thread.
 *
 * <p>Invariants: a record that could not be written may be retried at the same position; after a
 * failed sync nothing more is written to the segment, because the operating system may have dropped
 * the dirty pages and reported the error only once, so that a later successful sync would prove
 * nothing. Writing resumes after a snapshot of the table in memory, in a new segment.
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
   * Creates the next segment.
   *
   * @param precedingSequence sequence number of the last record before the segment
   */
  public LogWriter(Storage storage, long precedingSequence) throws IOException {
    this.storage = storage;
    this.lastSequence = precedingSequence;
    file = createSegment(precedingSequence + 1);
    position = LogFormat.FILE_HEADER_BYTES;
  }

  private Storage.File createSegment(long firstSequence) throws IOException {
    Storage.File segment = storage.create(LogFormat.FileKind.SEGMENT.fileName(firstSequence));
    try {
      segment.write(LogFormat.FileKind.SEGMENT.header(firstSequence), 0);
      storage.sync(); // Without it the file could be lost after its records were acknowledged.
      return segment;
    } catch (IOException e) {
      segment.close();
      throw e;
    }
  }

  /**
   * Seals a record with the next sequence number and writes it.
   *
   * @throws IOException when the record could not be written; the same record may be retried unless
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

  /** Makes all appended records durable. After an error the segment is abandoned. */
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
   * Syncs this segment and creates the next one, unless this one is empty; returns the sequence
   * number of the last record before it.
   */
  public long roll() throws IOException {
    sync();
    if (position > LogFormat.FILE_HEADER_BYTES) {
      Storage.File next = createNextSegment();
      Storage.File previous = file;
      file = next;
      position = LogFormat.FILE_HEADER_BYTES;
      previous.close();
    }
    appendedBytes = 0;
    return lastSequence;
  }

  /**
   * Creates the next segment and deletes it again on failure: if it remained while this segment
   * grew past its first sequence number, two files would contain the same sequence numbers. If the
   * deletion is not durable, this segment is abandoned.
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

  /** Returns whether the segment is abandoned. */
  public boolean isAbandoned() {
    return isAbandoned;
  }

  /** Returns the sequence number of the last appended record. */
  public long lastSequence() {
    return lastSequence;
  }

  /** Returns the number of bytes appended since the last roll. */
  public long appendedBytes() {
    return appendedBytes;
  }

  /** Closes the segment without syncing it; may be called more than once. */
  @Override
  public void close() throws IOException {
    file.close();
  }
}
