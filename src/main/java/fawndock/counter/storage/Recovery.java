package fawndock.counter.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.function.LongConsumer;

/**
 * Recovers the counter table: loads the newest complete snapshot, then replays the log up to its
 * last valid record.
 *
 * <p>Rules: an invalid record at the end of the log, with no valid record after it, is a torn write
 * from a crash and is truncated; any other invalid or missing record is damage, and recovery
 * changes nothing. The last acknowledged record, if it was damaged later, is indistinguishable from
 * a torn write.
 */
public final class Recovery {
  /**
   * Result of a recovery.
   *
   * @param lastSequence sequence number of the last record
   * @param latestTimeMillis latest time of a record, in milliseconds since 1970
   * @param bytesRead total size of the records read
   * @param warnings messages for the operator, one line each
   */
  public record Result(
      long lastSequence, long latestTimeMillis, long bytesRead, List<String> warnings) {}

  private final Storage storage;
  private final CounterTable table;
  private final LongConsumer progressListener;
  private final TableFiller tableFiller;
  private final List<String> warnings = new ArrayList<>();
  private long latestTimeMillis;
  private long bytesRead;

  private Recovery(Storage storage, CounterTable table, LongConsumer progressListener) {
    this.storage = storage;
    this.table = table;
    this.progressListener = progressListener;
    tableFiller = new TableFiller(table);
  }

  /**
   * Loads an empty table from the storage and truncates a torn record at the end of the log.
   *
   * @param progressListener receives the number of bytes read so far
   * @throws CorruptLogException when a record before the end of the log is invalid or missing; the
   *     storage is then unchanged
   */
  public static Result recover(Storage storage, CounterTable table, LongConsumer progressListener)
      throws IOException {
    return new Recovery(storage, table, progressListener).recover();
  }

  private Result recover() throws IOException {
    long baseSequence = recoverSnapshot();
    long lastSequence = replaySegments(baseSequence);
    return new Result(lastSequence, latestTimeMillis, bytesRead, warnings);
  }

  /**
   * Loads the newest complete snapshot; returns the last record that it covers, or 0 if there is no
   * complete snapshot.
   */
  private long recoverSnapshot() throws IOException {
    NavigableMap<Long, String> snapshots = LogFormat.FileKind.SNAPSHOT.filesBySequence(storage);
    for (Map.Entry<Long, String> snapshot : snapshots.descendingMap().entrySet()) {
      if (loadSnapshot(snapshot.getValue())) {
        return snapshot.getKey();
      }
      warnings.add(snapshot.getValue() + ": not whole, left aside");
      table.clear();
    }
    return 0;
  }

  /**
   * Loads a snapshot; returns whether it is complete. If it is not, the table contains a part of
   * it.
   */
  private boolean loadSnapshot(String name) throws IOException {
    SnapshotEndCheck check = new SnapshotEndCheck(tableFiller);
    StoredFileScan scan =
        StoredFileScan.scan(
            storage, LogFormat.FileKind.SNAPSHOT, name, reader -> apply(reader, name, check));
    return scan.state() == FileState.WHOLE
        && check.isComplete()
        && check.nameCount() == table.size();
  }

  /** Replays the records after the snapshot; returns the sequence number of the last record. */
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
    for (Map.Entry<Long, String> segment :
        chain.all().tailMap(chain.firstNeeded(), true).entrySet()) {
      if (segment.getKey() != expectedFirst) {
        throw new CorruptLogException(
            segment.getValue(),
            0,
            SegmentChain.missingRecords(expectedFirst, segment.getKey()) + "this file,");
      }
      expectedFirst =
          replaySegment(segment.getValue(), baseSequence, chain.isNewest(segment.getKey())) + 1;
    }
    return Math.max(baseSequence, expectedFirst - 1);
  }

  /** Replays the records of a segment after the base; returns the last sequence number in it. */
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
      case TORN -> truncateTornRecord(scan);
      default -> {
        String problem =
            scan.hasHeader()
                ? "damaged record " + (scan.lastSequence() + 1)
                : "damaged file header";
        throw new CorruptLogException(
            name, scan.validBytes(), problem + " before the end of the log");
      }
    }
    return scan.lastSequence();
  }

  private void truncateTornRecord(StoredFileScan scan) throws IOException {
    warnings.add(
        scan.name()
            + ": cut off "
            + (scan.sizeBytes() - scan.validBytes())
            + " bytes of a torn record at offset "
            + scan.validBytes());
    if (!scan.hasHeader()) {
      storage.delete(scan.name()); // No record in it was acknowledged.
      return;
    }
    try (Storage.File file = storage.open(scan.name())) {
      file.truncate(scan.validBytes());
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
    progressListener.accept(bytesRead);
  }

  /** Applies the changes in records to the table. */
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
      // SnapshotEndCheck verifies it; a segment has none.
    }
  }
}
