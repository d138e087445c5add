package fawndock.counter.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Appends records to the newest segment. A record that could not be written is tried again at the
 * same place. After a sync that failed nothing more is written to that file: the system may have
 * dropped the dirty pages and told it once, so that a later success would prove nothing. The way on
 * is a new file, after a snapshot that holds all.
 */
public final class LogWriter {
  private final Storage disk;
  private Storage.File file;
  private long at;
  private long sequence;
  private long appended;
  private boolean dirty;
  private boolean failed;

  /**
   * Begins a segment.
   *
   * @param sequence of the last record before it
   */
  public LogWriter(Storage disk, long sequence) throws IOException {
    this.disk = disk;
    this.sequence = sequence;
    file = begin(sequence + 1);
    at = LogFormat.FILE_HEADER;
  }

  private Storage.File begin(long first) throws IOException {
    Storage.File made = disk.create(LogFormat.Kind.SEGMENT.file(first));
    try {
      made.write(LogFormat.Kind.SEGMENT.header(first), 0);
      disk.sync(); // Else records in it could be acknowledged, and the file itself be lost.
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
   *     {@link #failed}
   */
  public void append(ByteBuffer record) throws IOException {
    check();
    LogFormat.seal(record, sequence + 1);
    int length = record.limit();
    file.write(record.duplicate().position(0), at);
    at += length;
    sequence++;
    appended += length;
    dirty = true;
  }

  /** Makes all that was appended outlast a crash. After an error the file is given up. */
  public void sync() throws IOException {
    check();
    if (!dirty) {
      return;
    }
    try {
      file.sync();
    } catch (IOException e) {
      failed = true;
      throw e;
    }
    dirty = false;
  }

  /**
   * Syncs this segment and begins another, unless this one is still empty; returns the last
   * sequence before it.
   */
  public long roll() throws IOException {
    sync();
    if (at > LogFormat.FILE_HEADER) {
      Storage.File next = next();
      Storage.File full = file;
      file = next;
      at = LogFormat.FILE_HEADER;
      full.close();
    }
    appended = 0;
    return sequence;
  }

  // Guards against a segment that was made in vain and stays, while this one goes on past its first
  // sequence: which
  // of the two has those records could not be told. When it cannot be removed for good, this one is
  // given up.
  private Storage.File next() throws IOException {
    try {
      return begin(sequence + 1);
    } catch (IOException e) {
      failed = true;
      disk.delete(LogFormat.Kind.SEGMENT.file(sequence + 1));
      disk.sync();
      failed = false;
      throw e;
    }
  }

  private void check() throws IOException {
    if (failed) {
      throw new IOException("this segment is given up: a sync of it failed");
    }
  }

  /** Whether the file is given up. */
  public boolean failed() {
    return failed;
  }

  /** Sequence of the last record appended. */
  public long sequence() {
    return sequence;
  }

  /** Bytes appended since the last roll. */
  public long appended() {
    return appended;
  }

  /** Closes without syncing. */
  public void close() throws IOException {
    file.close();
  }
}
