package fawndock.counter.storage;

import java.util.ArrayList;
import java.util.List;

/**
 * Iterates over a table in chunks while the table changes. The chunks are from different times;
 * replaying the log from before the first chunk gives each name its final value, because a record
 * stores the resulting value of a name. Not thread-safe.
 */
public final class SnapshotIterator {
  /** The part of a chunk that forms one record, with its number of names. */
  public record SnapshotPart(ChangeRecord changes, int nameCount) {}

  private static final int CHUNK_BYTES = 128 << 10;
  private final CounterTable table;
  private int shard;

  public SnapshotIterator(CounterTable table) {
    this.table = table;
  }

  /**
   * Returns the next chunk; it is empty after the last name. A chunk always contains complete
   * shards, because the names within a shard may move between calls.
   */
  public List<SnapshotPart> next(long nowMillis) {
    List<SnapshotPart> parts = new ArrayList<>();
    ChangeRecord[] current = {new ChangeRecord(CHUNK_BYTES)};
    int[] nameCounter = {0};
    while (shard < table.shardCount() && parts.isEmpty() && current[0].sizeBytes() < CHUNK_BYTES) {
      table.visitShard(
          shard++,
          nowMillis,
          (name, amount, expiryMillis) -> {
            if (!current[0].hasCapacityFor(ChangeRecord.MAX_CHANGE_BYTES)) {
              parts.add(new SnapshotPart(current[0], nameCounter[0]));
              current[0] = new ChangeRecord(CHUNK_BYTES);
              nameCounter[0] = 0;
            }
            current[0].putAmount(name, amount, expiryMillis);
            nameCounter[0]++;
          });
    }
    if (nameCounter[0] > 0) {
      parts.add(new SnapshotPart(current[0], nameCounter[0]));
    }
    return parts;
  }
}
