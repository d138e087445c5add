package fawndock.counter.replication;

import fawndock.counter.storage.ChangeRecord;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.CounterTable;
import fawndock.counter.storage.DecimalAmount;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Gatekeepers' sums in a table of counts: the name has the total, and the name with an origin has
 * that origin's sums. So log, snapshots, recovery and expiry are those of all counts, and any
 * client reads a total by its name.
 */
public final class ReplicatedSums {
  /** Between a name and an origin; names must not have it. */
  private static final char ORIGIN_SEPARATOR = '\0';

  private static final int KEY_SUFFIX_BYTES = 1 + Long.BYTES + 1;
  private static final byte ADDED = '+';
  private static final byte WITHDRAWN = '-';
  private final CounterOperations counts;

  public ReplicatedSums(CounterOperations counts) {
    this.counts = counts;
  }

  /** Most bytes that a merge notes. */
  public static long maxMergeBytes(String name) {
    return 3 * (19 + 4L * name.length() + KEY_SUFFIX_BYTES);
  }

  /**
   * Keeps the larger of what is there and what is told, and brings the total up to it.
   *
   * @return the growth of the origin's net sum, or null when nothing grew
   */
  public DecimalAmount merge(ReplicatedSum sum, long now, ChangeRecord to) throws CommandException {
    if (sum.name().indexOf(ORIGIN_SEPARATOR) >= 0 || sum.name().isEmpty()) {
      throw new CommandException("ERR a name has at least one character, and no zero byte");
    }
    byte[] name = sum.name().getBytes(StandardCharsets.UTF_8);
    if (name.length > ChangeRecord.MAX_NAME_BYTES - KEY_SUFFIX_BYTES) {
      throw new CommandException(
          "ERR a name is at most " + (ChangeRecord.MAX_NAME_BYTES - KEY_SUFFIX_BYTES) + " bytes");
    }
    DecimalAmount plus = growth(key(name, sum.origin(), ADDED), sum.added(), now);
    DecimalAmount minus = growth(key(name, sum.origin(), WITHDRAWN), sum.withdrawn(), now);
    if (plus.digits() == 0 && minus.digits() == 0) {
      return null;
    }
    DecimalAmount net = plus.plus(minus.negated());
    DecimalAmount was = counts.table().get(name, now);
    // All parts of a name expire at once: else one that was forgotten before the total would be
    // added to it again.
    long expiry =
        was == null ? now + sum.timeToLiveMillis() : counts.table().expiryMillis(name, now);
    if (was == null) {
      counts.requireMemoryFor(name);
    }
    counts.put(name, was == null ? net : was.plus(net), expiry, to);
    if (plus.digits() > 0) {
      counts.put(key(name, sum.origin(), ADDED), sum.added(), expiry, to);
    }
    if (minus.digits() > 0) {
      counts.put(key(name, sum.origin(), WITHDRAWN), sum.withdrawn(), expiry, to);
    }
    return net;
  }

  private DecimalAmount growth(byte[] key, DecimalAmount told, long now) throws CommandException {
    DecimalAmount has = counts.table().get(key, now);
    DecimalAmount growth = has == null ? told : told.plus(has.negated());
    return growth.digits() > 0 ? growth : DecimalAmount.ZERO;
  }

  /** The total of a name. */
  public DecimalAmount total(String name, long now) {
    DecimalAmount total = counts.table().get(name.getBytes(StandardCharsets.UTF_8), now);
    return total == null ? DecimalAmount.ZERO : total;
  }

  /**
   * One origin's sums on a name, as they would be told to another node; null when there are none.
   */
  public ReplicatedSum sumOf(String name, long origin, long now) {
    byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
    DecimalAmount plus = counts.table().get(key(bytes, origin, ADDED), now);
    DecimalAmount minus = counts.table().get(key(bytes, origin, WITHDRAWN), now);
    if (plus == null && minus == null) {
      return null;
    }
    long expiry =
        Math.max(
            counts.table().expiryMillis(key(bytes, origin, ADDED), now),
            counts.table().expiryMillis(key(bytes, origin, WITHDRAWN), now));
    return new ReplicatedSum(
        name,
        origin,
        plus == null ? DecimalAmount.ZERO : plus,
        minus == null ? DecimalAmount.ZERO : minus,
        Math.max(1, expiry - now));
  }

  /** Tells all sums of a shard, a call for each name and origin. */
  public void visitShard(int shard, long now, Consumer<ReplicatedSum> each) {
    CounterTable table = counts.table();
    table.visitShard(
        shard,
        now,
        (key, amount, expiry) -> {
          int at = key.length - KEY_SUFFIX_BYTES;
          if (at <= 0 || key[at] != ORIGIN_SEPARATOR) {
            return;
          }
          String name = new String(key, 0, at, StandardCharsets.UTF_8);
          long origin = ByteBuffer.wrap(key).getLong(at + 1);
          byte sign = key[key.length - 1];
          // Each sign is told by itself: merging takes them in any order.
          each.accept(
              new ReplicatedSum(
                  name,
                  origin,
                  sign == ADDED ? amount : DecimalAmount.ZERO,
                  sign == WITHDRAWN ? amount : DecimalAmount.ZERO,
                  Math.max(1, expiry - now)));
        });
  }

  /** Shards to visit. */
  public int shardCount() {
    return counts.table().shards();
  }

  private static byte[] key(byte[] name, long origin, byte sign) {
    return ByteBuffer.allocate(name.length + KEY_SUFFIX_BYTES)
        .put(name)
        .put((byte) ORIGIN_SEPARATOR)
        .putLong(origin)
        .put(sign)
        .array();
  }
}
