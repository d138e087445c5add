package fawndock.counter.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.function.LongConsumer;

/**
 * Finds again what was counted: the newest whole snapshot, then the log to its last whole record. A
 * record that is not whole, with none after it, is the tail of a crash and is cut off; anything
 * else that is not whole is damage. What was acknowledged last and is damaged since looks like the
 * tail of a crash too.
 */
public final class Recovery implements ChangeRecord.Visitor {
  /**
   * What was found.
   *
   * @param lastSequence of the last record
   * @param latestTimeMillis the latest that a record tells, in milliseconds since 1970
   * @param bytesRead read
   * @param warnings what the operator should know, a line each
   */
  public record Result(
      long lastSequence, long latestTimeMillis, long bytesRead, List<String> warnings) {}

  private final Storage disk;
  private final CounterTable table;
  private final LongConsumer progress;
  private final List<String> reports = new ArrayList<>();
  private long time;
  private long bytes;
  private long ended = -1;

  private Recovery(Storage disk, CounterTable table, LongConsumer progress) {
    this.disk = disk;
    this.table = table;
    this.progress = progress;
  }

  /**
   * Fills an empty table from a disk, and cuts off what a crash left of a record.
   *
   * @param progress is told the bytes read so far
   * @throws CorruptLogException when a record before the end is not whole, or some are missing
   */
  public static Result recover(Storage disk, CounterTable table, LongConsumer progress)
      throws IOException {
    return new Recovery(disk, table, progress).recover();
  }

  private Result recover() throws IOException {
    TreeMap<Long, String> snapshots = files(disk, LogFormat.FileKind.SNAPSHOT);
    long base = 0;
    for (long sequence : snapshots.descendingKeySet()) {
      if (snapshot(snapshots.get(sequence), sequence)) {
        base = sequence;
        break;
      }
      reports.add(snapshots.get(sequence) + ": not whole, left aside");
      table.clear();
    }
    TreeMap<Long, String> segments = files(disk, LogFormat.FileKind.SEGMENT);
    Long from = segments.floorKey(base + 1);
    if (from == null && !segments.isEmpty()) {
      throw new CorruptLogException(
          segments.firstEntry().getValue(),
          0,
          "records "
              + (base + 1)
              + " to "
              + (segments.firstKey() - 1)
              + " are missing before this file, or the snapshot that holds them,");
    }
    long last = base;
    if (from != null) {
      long expected = from;
      for (var segment : segments.tailMap(from).entrySet()) {
        if (segment.getKey() != expected) {
          throw new CorruptLogException(
              segment.getValue(),
              0,
              "records "
                  + expected
                  + " to "
                  + (segment.getKey() - 1)
                  + " are missing before this file,");
        }
        expected =
            segment(
                    segment.getValue(),
                    segment.getKey(),
                    base,
                    segment.getKey().equals(segments.lastKey()))
                + 1;
      }
      last = Math.max(base, expected - 1);
    }
    return new Result(last, time, bytes, reports);
  }

  /** Files of a kind by their sequence. */
  public static TreeMap<Long, String> files(Storage disk, LogFormat.FileKind kind)
      throws IOException {
    TreeMap<Long, String> found = new TreeMap<>(Comparator.naturalOrder());
    for (String name : disk.list()) {
      if (kind.sequenceOf(name) >= 0) {
        found.put(kind.sequenceOf(name), name);
      }
    }
    return found;
  }

  /** Whether it is whole; when not, the table holds a part of it. */
  private boolean snapshot(String name, long sequence) throws IOException {
    try (Storage.File file = disk.open(name)) {
      RecordReader reader = new RecordReader(file, 1);
      ended = -1;
      if (!reader.matchesHeader(LogFormat.FileKind.SNAPSHOT, sequence)) {
        return false;
      }
      while (ended < 0 && reader.next()) {
        read(reader, name);
      }
      return ended == table.size() && reader.offset() == reader.sizeBytes();
    }
  }

  /** Replays a segment's records after the base; returns the last sequence in it. */
  private long segment(String name, long first, long base, boolean newest) throws IOException {
    try (Storage.File file = disk.open(name)) {
      RecordReader reader = new RecordReader(file, first);
      boolean begins = reader.matchesHeader(LogFormat.FileKind.SEGMENT, first);
      while (begins && reader.next()) {
        if (reader.sequence() > base) {
          read(reader, name);
        }
      }
      if (begins && reader.offset() == reader.sizeBytes()) {
        return reader.sequence();
      }
      long offset = begins ? reader.offset() : 0;
      if (!newest || reader.hasLaterWholeRecord()) {
        throw new CorruptLogException(
            name,
            offset,
            (begins ? "damaged record " + (reader.sequence() + 1) : "damaged file header")
                + " before the end of the log");
      }
      reports.add(
          name
              + ": cut off "
              + (reader.sizeBytes() - offset)
              + " bytes of a torn record at offset "
              + offset);
      if (begins) {
        file.truncate(offset);
        file.sync();
      } else {
        disk.delete(name); // Never begun: nothing was acknowledged in it.
      }
      return reader.sequence();
    }
  }

  private void read(RecordReader reader, String name) throws IOException {
    try {
      time = Math.max(time, ChangeRecord.visitBody(reader.body(), this));
    } catch (IllegalArgumentException e) {
      throw new CorruptLogException(
          name,
          reader.offset(),
          e.getMessage() + " in record " + reader.sequence() + ", which ends");
    }
    bytes += reader.body().remaining() + LogFormat.RECORD_HEADER_BYTES;
    progress.accept(bytes);
  }

  @Override
  public void onAmount(byte[] name, DecimalAmount amount, long expiry) {
    table.put(name, amount, expiry);
  }

  @Override
  public void onDeleted(byte[] name) {
    table.remove(name);
  }

  @Override
  public void onSnapshotEnd(long names) {
    ended = names;
  }
}
