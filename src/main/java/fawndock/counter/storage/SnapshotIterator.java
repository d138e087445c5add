package fawndock.counter.storage;

import java.util.ArrayList;
import java.util.List;

/**
 * Goes through a table a piece at a time while it changes. The pieces are of different moments; the
 * log from before the first on brings each name to what it is in the end, since a record holds what
 * a name is after it.
 */
public final class SnapshotIterator {
  /** A part of a piece that is one record, with so many names. */
  public record SnapshotPart(ChangeRecord changes, int nameCount) {}

  private static final int PIECE_BYTES = 128 << 10;
  private final CounterTable table;
  private int shard;

  public SnapshotIterator(CounterTable table) {
    this.table = table;
  }

  /**
   * The next piece; empty when all names were gone through. A shard is never cut: its names may
   * move.
   */
  public List<SnapshotPart> next(long now) {
    List<SnapshotPart> parts = new ArrayList<>();
    ChangeRecord[] open = {new ChangeRecord(PIECE_BYTES)};
    int[] names = {0};
    while (shard < table.shardCount() && parts.isEmpty() && open[0].sizeBytes() < PIECE_BYTES) {
      table.visitShard(
          shard++,
          now,
          (name, amount, expiry) -> {
            if (!open[0].hasCapacityFor(ChangeRecord.MAX_CHANGE_BYTES)) {
              parts.add(new SnapshotPart(open[0], names[0]));
              open[0] = new ChangeRecord(PIECE_BYTES);
              names[0] = 0;
            }
            open[0].putAmount(name, amount, expiry);
            names[0]++;
          });
    }
    if (names[0] > 0) {
      parts.add(new SnapshotPart(open[0], names[0]));
    }
    return parts;
  }
}
