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
  public record Part(ChangeRecord changes, int names) {}

  private static final int PIECE = 128 << 10;
  private final CounterTable table;
  private int shard;

  public SnapshotIterator(CounterTable table) {
    this.table = table;
  }

  /**
   * The next piece; empty when all names were gone through. A shard is never cut: its names may
   * move.
   */
  public List<Part> next(long now) {
    List<Part> parts = new ArrayList<>();
    ChangeRecord[] open = {new ChangeRecord(PIECE)};
    int[] names = {0};
    while (shard < table.shards() && parts.isEmpty() && open[0].size() < PIECE) {
      table.visit(
          shard++,
          now,
          (name, amount, expiry) -> {
            if (!open[0].room(ChangeRecord.LONGEST)) {
              parts.add(new Part(open[0], names[0]));
              open[0] = new ChangeRecord(PIECE);
              names[0] = 0;
            }
            open[0].set(name, amount, expiry);
            names[0]++;
          });
    }
    if (names[0] > 0) {
      parts.add(new Part(open[0], names[0]));
    }
    return parts;
  }
}
