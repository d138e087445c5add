package fawndock.counter.storage;

import java.io.IOException;

/** Writes a snapshot beside the log and puts it in place when it is whole and durable. */
public final class SnapshotWriter {
  /** The name while it is written; left behind by a crash and overwritten then. */
  public static final String UNFINISHED_FILE = "snapshot.new";

  private final Storage disk;
  private final long coveredSequence;
  private final Storage.File file;
  private long position = LogFormat.FILE_HEADER_BYTES;
  private long recordCount;
  private long nameCount;

  /**
   * @param covered sequence of the last record whose changes are all in it
   */
  public SnapshotWriter(Storage disk, long covered) throws IOException {
    this.disk = disk;
    this.coveredSequence = covered;
    file = disk.create(UNFINISHED_FILE);
    try {
      file.write(LogFormat.FileKind.SNAPSHOT.header(covered), 0);
    } catch (IOException e) {
      abandon();
      throw e;
    }
  }

  /** Appends a record with so many names. */
  public void write(ChangeRecord changes, long many, long time) throws IOException {
    java.nio.ByteBuffer record = changes.toRecord(time);
    LogFormat.seal(record, ++recordCount);
    int length = record.limit();
    file.write(record, position);
    position += length;
    nameCount += many;
  }

  /**
   * Ends it and puts it in place. All records up to the newest change in it must be durable in the
   * log by now: otherwise a crash could leave half of a record's changes, those in the snapshot.
   */
  public void finish(long time) throws IOException {
    ChangeRecord end = new ChangeRecord(16);
    end.putSnapshotEnd(nameCount);
    write(end, 0, time);
    file.sync();
    file.close();
    disk.rename(UNFINISHED_FILE, LogFormat.FileKind.SNAPSHOT.fileName(coveredSequence));
    disk.sync();
  }

  /** Bytes so far. */
  public long sizeBytes() {
    return position;
  }

  /** Gives it up; what is there of it is removed. */
  public void abandon() {
    try {
      file.close();
      disk.delete(UNFINISHED_FILE);
    } catch (IOException e) {
      // It is overwritten by the next.
    }
  }

  /** Removes the segments that the snapshot of this sequence covers, and older snapshots. */
  public static void deleteObsoleteFiles(Storage disk, long covered) throws IOException {
    java.util.List<String> files = disk.list();
    long newest =
        files.stream()
            .mapToLong(LogFormat.FileKind.SEGMENT::sequenceOf)
            .filter(s -> s >= 0 && s <= covered + 1)
            .max()
            .orElse(-1);
    for (String name : files) {
      long segment = LogFormat.FileKind.SEGMENT.sequenceOf(name);
      long snapshot = LogFormat.FileKind.SNAPSHOT.sequenceOf(name);
      if (segment >= 0 && segment < newest || snapshot >= 0 && snapshot < covered) {
        disk.delete(name);
      }
    }
  }
}
