package fawndock.counter.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * Writes a snapshot beside the log and puts it in place when it is whole and durable. Used from one
 * thread; ends with {@link #finish} or {@link #abandon}.
 */
public final class SnapshotWriter {
  /** The name while it is written; left behind by a crash and overwritten then. */
  public static final String UNFINISHED_FILE = "snapshot.new";

  private final Storage storage;
  private final long coveredSequence;
  private final Storage.File file;
  private long position = LogFormat.FILE_HEADER_BYTES;
  private long recordCount;
  private long nameCount;

  /**
   * @param coveredSequence of the last record whose changes are all in it
   */
  public SnapshotWriter(Storage storage, long coveredSequence) throws IOException {
    this.storage = storage;
    this.coveredSequence = coveredSequence;
    file = storage.create(UNFINISHED_FILE);
    try {
      file.write(LogFormat.FileKind.SNAPSHOT.header(coveredSequence), 0);
    } catch (IOException e) {
      abandon();
      throw e;
    }
  }

  /** Appends a record with so many names. */
  public void write(ChangeRecord changes, long names, long timeMillis) throws IOException {
    ByteBuffer record = changes.toRecord(timeMillis);
    LogFormat.seal(record, ++recordCount);
    int length = record.limit();
    file.write(record, position);
    position += length;
    nameCount += names;
  }

  /**
   * Ends it and puts it in place. All records up to the newest change in it must be durable in the
   * log by now: otherwise a crash could leave half of a record's changes, those in the snapshot.
   */
  public void finish(long timeMillis) throws IOException {
    ChangeRecord end = new ChangeRecord(16);
    end.putSnapshotEnd(nameCount);
    write(end, 0, timeMillis);
    file.sync();
    file.close();
    storage.rename(UNFINISHED_FILE, LogFormat.FileKind.SNAPSHOT.fileName(coveredSequence));
    storage.sync();
  }

  /** Bytes so far. */
  public long sizeBytes() {
    return position;
  }

  /** Gives it up; what is there of it is removed. */
  public void abandon() {
    try {
      file.close();
      storage.delete(UNFINISHED_FILE);
    } catch (IOException e) {
      // What is left of it is overwritten by the next snapshot.
    }
  }

  /** Removes the segments that the snapshot of this sequence covers, and older snapshots. */
  public static void deleteObsoleteFiles(Storage storage, long coveredSequence) throws IOException {
    List<String> files = storage.list();
    long newest =
        files.stream()
            .mapToLong(LogFormat.FileKind.SEGMENT::sequenceOf)
            .filter(s -> s >= 0 && s <= coveredSequence + 1)
            .max()
            .orElse(-1);
    for (String name : files) {
      long segment = LogFormat.FileKind.SEGMENT.sequenceOf(name);
      long snapshot = LogFormat.FileKind.SNAPSHOT.sequenceOf(name);
      boolean isCoveredSegment = segment >= 0 && segment < newest;
      if (isCoveredSegment || (snapshot >= 0 && snapshot < coveredSequence)) {
        storage.delete(name);
      }
    }
  }
}
