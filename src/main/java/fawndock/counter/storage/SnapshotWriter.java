package fawndock.counter.storage;

import java.io.IOException;

/** Writes a snapshot beside the log and puts it in place when it is whole and durable. */
public final class SnapshotWriter {
  /** The name while it is written; left behind by a crash and overwritten then. */
  public static final String UNFINISHED = "snapshot.new";

  private final Storage disk;
  private final long covered;
  private final Storage.File file;
  private long at = LogFormat.FILE_HEADER;
  private long records;
  private long names;

  /**
   * @param covered sequence of the last record whose changes are all in it
   */
  public SnapshotWriter(Storage disk, long covered) throws IOException {
    this.disk = disk;
    this.covered = covered;
    file = disk.create(UNFINISHED);
    try {
      file.write(LogFormat.Kind.SNAPSHOT.header(covered), 0);
    } catch (IOException e) {
      abandon();
      throw e;
    }
  }

  /** Appends a record with so many names. */
  public void write(ChangeRecord changes, long many, long time) throws IOException {
    java.nio.ByteBuffer record = changes.record(time);
    LogFormat.seal(record, ++records);
    int length = record.limit();
    file.write(record, at);
    at += length;
    names += many;
  }

  /**
   * Ends it and puts it in place. All records up to the newest change in it must be durable in the
   * log by now: otherwise a crash could leave half of a record's changes, those in the snapshot.
   */
  public void finish(long time) throws IOException {
    ChangeRecord end = new ChangeRecord(16);
    end.end(names);
    write(end, 0, time);
    file.sync();
    file.close();
    disk.rename(UNFINISHED, LogFormat.Kind.SNAPSHOT.file(covered));
    disk.sync();
  }

  /** Bytes so far. */
  public long size() {
    return at;
  }

  /** Gives it up; what is there of it is removed. */
  public void abandon() {
    try {
      file.close();
      disk.delete(UNFINISHED);
    } catch (IOException e) {
      // It is overwritten by the next.
    }
  }

  /** Removes the segments that the snapshot of this sequence covers, and older snapshots. */
  public static void clean(Storage disk, long covered) throws IOException {
    java.util.List<String> files = disk.list();
    long newest =
        files.stream()
            .mapToLong(LogFormat.Kind.SEGMENT::sequence)
            .filter(s -> s >= 0 && s <= covered + 1)
            .max()
            .orElse(-1);
    for (String name : files) {
      long segment = LogFormat.Kind.SEGMENT.sequence(name);
      long snapshot = LogFormat.Kind.SNAPSHOT.sequence(name);
      if (segment >= 0 && segment < newest || snapshot >= 0 && snapshot < covered) {
        disk.delete(name);
      }
    }
  }
}
