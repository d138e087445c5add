package fawndock.counter.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * Writes a snapshot to a temporary file and renames it when it is complete and durable. Confined to
 * one thread; ends with {@link #finish} or {@link #abandon}.
 */
public final class SnapshotWriter {
  /**
   * Name of the file while the snapshot is incomplete; after a crash the file remains and the next
   * snapshot overwrites it.
   */
  public static final String UNFINISHED_FILE = "snapshot.new";

  private final Storage storage;
  private final long coveredSequence;
  private final Storage.File file;
  private long position = LogFormat.FILE_HEADER_BYTES;
  private long recordCount;
  private long nameCount;

  /**
   * @param coveredSequence sequence number of the last record whose changes are all in the snapshot
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

  /** Appends a record that contains this number of names. */
  public void write(ChangeRecord changes, long additionalNames, long timeMillis)
      throws IOException {
    ByteBuffer record = changes.toRecord(timeMillis);
    LogFormat.seal(record, ++recordCount);
    int length = record.limit();
    file.write(record, position);
    position += length;
    nameCount += additionalNames;
  }

  /**
   * Writes the end record, syncs the file and renames it. All records up to the newest change in
   * the snapshot must already be durable in the log: otherwise a crash could leave only those
   * changes of a record that are in the snapshot.
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

  /** Returns the size so far, in bytes. */
  public long sizeBytes() {
    return position;
  }

  /** Abandons the snapshot and deletes its temporary file. */
  public void abandon() {
    try {
      file.close();
      storage.delete(UNFINISHED_FILE);
    } catch (IOException e) {
      // The next snapshot overwrites the file.
    }
  }

  /**
   * Deletes the segments that the snapshot with this sequence number covers, and older snapshots.
   */
  public static void deleteObsoleteFiles(Storage storage, long coveredSequence) throws IOException {
    List<String> files = storage.list();
    long firstNeededSegment =
        files.stream()
            .mapToLong(LogFormat.FileKind.SEGMENT::sequenceOf)
            .filter(s -> s >= 0 && s <= coveredSequence + 1)
            .max()
            .orElse(-1);
    for (String name : files) {
      long segment = LogFormat.FileKind.SEGMENT.sequenceOf(name);
      long snapshot = LogFormat.FileKind.SNAPSHOT.sequenceOf(name);
      boolean isCoveredSegment = segment >= 0 && segment < firstNeededSegment;
      if (isCoveredSegment || (snapshot >= 0 && snapshot < coveredSequence)) {
        storage.delete(name);
      }
    }
  }
}
