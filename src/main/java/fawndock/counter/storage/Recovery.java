package fawndock.counter.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.function.LongConsumer;

/**
 * Recovers the counts: the newest whole snapshot, then the log to its last whole record.
 *
 * <p>Rules: a record that is not whole, with none after it, is the tail of a crash and is cut off;
 * anything else that is not whole, or is missing, is damage, and nothing is changed. A record that
 * was acknowledged last and was damaged since looks like the tail of a crash too.
 */
public final class Recovery {
  /**
   * What was recovered.
   *
   * @param lastSequence of the last record
   * @param latestTimeMillis the latest that a record has, in milliseconds since 1970
   * @param bytesRead of all records
   * @param warnings what the operator should know, a line each
   */
  public record Result(
      long lastSequence, long latestTimeMillis, long bytesRead, List<String> warnings) {}

  private final Storage storage;
  private final CounterTable table;
  private final LongConsumer progress;
  private final TableFiller tableFiller;
  private final List<String> warnings = new ArrayList<>();
  private long latestTimeMillis;
  private long bytesRead;

  private Recovery(Storage storage, CounterTable table, LongConsumer progress) {
    this.storage = storage;
    this.table = table;
    this.progress = progress;
    tableFiller = new TableFiller(table);
  }

  /**
   * Fills an empty table from the storage, and cuts off what a crash left of a record.
   *
   * @param progress is called with the bytes read so far
   * @throws CorruptLogException when a record before the end is not whole, or some are missing; the
   *     storage is as it was then
   */
  public static Result recover(Storage storage, CounterTable table, LongConsumer progress)
      throws IOException {
    return new Recovery(storage, table, progress).recover();
  }

  private Result recover() throws IOException {
    long baseSequence = recoverSnapshot();
    long lastSequence = replaySegments(baseSequence);
    return new Result(lastSequence, latestTimeMillis, bytesRead, warnings);
  }

  /** Loads the newest whole snapshot; returns the last record that it covers, 0 for none. */
  private long recoverSnapshot() throws IOException {
    NavigableMap<Long, String> snapshots = LogFormat.FileKind.SNAPSHOT.filesBySequence(storage);
    for (Map.Entry<Long, String> each : snapshots.descendingMap().entrySet()) {
      if (loadSnapshot(each.getValue())) {
        return each.getKey();
      }
      warnings.add(each.getValue() + ": not whole, left aside");
      table.clear();
    }
    return 0;
  }

  /** Returns whether it is whole; when not, the table holds a part of it. */
  private boolean loadSnapshot(String name) throws IOException {
    SnapshotEndCheck check = new SnapshotEndCheck(tableFiller);
    StoredFileScan scan =
        StoredFileScan.scan(
            storage, LogFormat.FileKind.SNAPSHOT, name, reader -> apply(reader, name, check));
    return scan.state() == FileState.WHOLE
        && check.isComplete()
        && check.nameCount() == table.size();
  }

  /** Replays what follows the snapshot; returns the sequence of the last record. */
  private long replaySegments(long baseSequence) throws IOException {
    SegmentChain chain = SegmentChain.after(storage, baseSequence);
    if (chain.all().isEmpty()) {
      return baseSequence;
    }
    if (chain.firstNeeded() == null) {
      Map.Entry<Long, String> earliest = chain.all().firstEntry();
      throw new CorruptLogException(
          earliest.getValue(),
          0,
          SegmentChain.missingRecords(baseSequence + 1, earliest.getKey())
              + "this file, or the snapshot that holds them,");
    }
    long expectedFirst = chain.firstNeeded();
    for (Map.Entry<Long, String> each : chain.all().tailMap(chain.firstNeeded(), true).entrySet()) {
      if (each.getKey() != expectedFirst) {
        throw new CorruptLogException(
            each.getValue(),
            0,
            SegmentChain.missingRecords(expectedFirst, each.getKey()) + "this file,");
      }
      expectedFirst =
          replaySegment(each.getValue(), baseSequence, chain.isNewest(each.getKey())) + 1;
    }
    return Math.max(baseSequence, expectedFirst - 1);
  }

  /** Replays a segment's records after the base; returns the last sequence in it. */
  private long replaySegment(String name, long baseSequence, boolean isNewest) throws IOException {
    StoredFileScan scan =
        StoredFileScan.scan(
            storage,
            LogFormat.FileKind.SEGMENT,
            name,
            reader -> {
              if (reader.sequence() > baseSequence) {
                apply(reader, name, tableFiller);
              }
            });
    switch (scan.stateInLog(isNewest)) {
      case WHOLE -> {}
      case TORN -> cutOffTail(scan);
      default -> {
        String what =
            scan.hasHeader() ? "damaged record " + (scan.lastRecord() + 1) : "damaged file header";
        throw new CorruptLogException(name, scan.wholeBytes(), what + " before the end of the log");
      }
    }
    return scan.lastRecord();
  }

  private void cutOffTail(StoredFileScan scan) throws IOException {
    warnings.add(
        scan.name()
            + ": cut off "
            + (scan.sizeBytes() - scan.wholeBytes())
            + " bytes of a torn record at offset "
            + scan.wholeBytes());
    if (!scan.hasHeader()) {
      storage.delete(scan.name()); // Never begun: nothing was acknowledged in it.
      return;
    }
    try (Storage.File file = storage.open(scan.name())) {
      file.truncate(scan.wholeBytes());
      file.sync();
    }
  }

  private void apply(RecordReader reader, String name, ChangeRecord.Visitor visitor)
      throws CorruptLogException {
    try {
      long timeMillis = ChangeRecord.visitBody(reader.body(), visitor);
      latestTimeMillis = Math.max(latestTimeMillis, timeMillis);
    } catch (IllegalArgumentException e) {
      throw new CorruptLogException(
          name,
          reader.offset(),
          e.getMessage() + " in record " + reader.sequence() + ", which ends");
    }
    bytesRead += reader.body().remaining() + LogFormat.RECORD_HEADER_BYTES;
    progress.accept(bytesRead);
  }

  /** Makes the table what the records say. */
  private record TableFiller(CounterTable table) implements ChangeRecord.Visitor {
    @Override
    public void onAmount(byte[] name, DecimalAmount amount, long expiryMillis) {
      table.put(name, amount, expiryMillis);
    }

    @Override
    public void onDeleted(byte[] name) {
      table.remove(name);
    }

    @Override
    public void onSnapshotEnd(long names) {
      // Held by SnapshotEndCheck; a segment has none.
    }
  }
}
