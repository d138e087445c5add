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
 * The replicated sums: a state-based CRDT, for each name a PN-counter with one entry an origin,
 * merged by maximum. They live in the table of counts, so that log, snapshots, recovery and expiry
 * are those of all counts, and any client reads a total by its name.
 *
 * <table>
 *   <caption>Keys in the table; stored files have them</caption>
 *   <tr><th>key</th><th>value</th></tr>
 *   <tr><td>name</td><td>the total: all added amounts less all withdrawn ones</td></tr>
 *   <tr><td>name, 0 (1 byte), origin (8, big-endian), {@code +}</td><td>what the origin added</td></tr>
 *   <tr><td>name, 0 (1 byte), origin (8, big-endian), {@code -}</td><td>what it withdrew</td></tr>
 * </table>
 *
 * <p>Invariant: all keys of a name expire at once; otherwise an entry that was forgotten before the
 * total would be added to it again.
 */
public final class ReplicatedSums {
  /** Between a name and an origin; names must not have it. */
  private static final char ORIGIN_SEPARATOR = '\0';

  private static final int KEY_SUFFIX_BYTES = 1 + Long.BYTES + 1;
  private static final byte ADDED = '+';
  private static final byte WITHDRAWN = '-';
  private final CounterOperations operations;

  public ReplicatedSums(CounterOperations operations) {
    this.operations = operations;
  }

  /**
   * Merges one origin's state: keeps the larger of each amount, and brings the total up to it.
   *
   * @return the growth of the origin's net sum, or null when nothing grew
   * @throws CommandException when the name or the total cannot be; nothing is changed then
   */
  public DecimalAmount merge(ReplicatedSum sum, long nowMillis, ChangeRecord changes)
      throws CommandException {
    byte[] name = requireName(sum.name());
    byte[] addedKey = key(name, sum.origin(), ADDED);
    byte[] withdrawnKey = key(name, sum.origin(), WITHDRAWN);
    DecimalAmount added = growth(addedKey, sum.added(), nowMillis);
    DecimalAmount withdrawn = growth(withdrawnKey, sum.withdrawn(), nowMillis);
    if (added.unscaledValue() == 0 && withdrawn.unscaledValue() == 0) {
      return null;
    }
    DecimalAmount net = added.plus(withdrawn.negated());
    long expiryMillis = putTotal(name, net, nowMillis + sum.timeToLiveMillis(), nowMillis, changes);
    if (added.unscaledValue() > 0) {
      operations.put(addedKey, sum.added(), expiryMillis, changes);
    }
    if (withdrawn.unscaledValue() > 0) {
      operations.put(withdrawnKey, sum.withdrawn(), expiryMillis, changes);
    }
    return net;
  }

  private static byte[] requireName(String text) throws CommandException {
    if (text.indexOf(ORIGIN_SEPARATOR) >= 0 || text.isEmpty()) {
      throw new CommandException("ERR a name has at least one character, and no zero byte");
    }
    byte[] name = text.getBytes(StandardCharsets.UTF_8);
    int maxBytes = ChangeRecord.MAX_NAME_BYTES - KEY_SUFFIX_BYTES;
    if (name.length > maxBytes) {
      throw new CommandException("ERR a name is at most " + maxBytes + " bytes");
    }
    return name;
  }

  /** Adds to the total; returns the expiry of the name, which a new name gets. */
  private long putTotal(
      byte[] name, DecimalAmount net, long newExpiryMillis, long nowMillis, ChangeRecord changes)
      throws CommandException {
    DecimalAmount total = operations.table().get(name, nowMillis);
    if (total == null) {
      operations.requireMemoryFor(name);
      operations.put(name, net, newExpiryMillis, changes);
      return newExpiryMillis;
    }
    long expiryMillis = operations.table().expiryMillis(name, nowMillis);
    operations.put(name, total.plus(net), expiryMillis, changes);
    return expiryMillis;
  }

  /** By how much an amount is above what is kept; zero when it is not. */
  private DecimalAmount growth(byte[] key, DecimalAmount amount, long nowMillis)
      throws CommandException {
    DecimalAmount kept = operations.table().get(key, nowMillis);
    DecimalAmount growth = kept == null ? amount : amount.plus(kept.negated());
    return growth.unscaledValue() > 0 ? growth : DecimalAmount.ZERO;
  }

  /** The total of a name. */
  public DecimalAmount total(String name, long nowMillis) {
    return orZero(operations.table().get(name.getBytes(StandardCharsets.UTF_8), nowMillis));
  }

  /** One origin's state on a name, to be sent to a peer; null when there is none. */
  public ReplicatedSum sumOf(String name, long origin, long nowMillis) {
    CounterTable table = operations.table();
    byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
    byte[] addedKey = key(bytes, origin, ADDED);
    byte[] withdrawnKey = key(bytes, origin, WITHDRAWN);
    DecimalAmount added = table.get(addedKey, nowMillis);
    DecimalAmount withdrawn = table.get(withdrawnKey, nowMillis);
    if (added == null && withdrawn == null) {
      return null;
    }
    long expiryMillis =
        Math.max(
            table.expiryMillis(addedKey, nowMillis), table.expiryMillis(withdrawnKey, nowMillis));
    return new ReplicatedSum(
        name, origin, orZero(added), orZero(withdrawn), Math.max(1, expiryMillis - nowMillis));
  }

  private static DecimalAmount orZero(DecimalAmount amount) {
    return amount == null ? DecimalAmount.ZERO : amount;
  }

  /** Shows all sums of a shard; added and withdrawn amounts apart, as merging takes any order. */
  public void visitShard(int shard, long nowMillis, Consumer<ReplicatedSum> visitor) {
    operations
        .table()
        .visitShard(
            shard,
            nowMillis,
            (key, amount, expiryMillis) -> {
              int separatorAt = key.length - KEY_SUFFIX_BYTES;
              if (separatorAt <= 0 || key[separatorAt] != ORIGIN_SEPARATOR) {
                return; // A total.
              }
              String name = new String(key, 0, separatorAt, StandardCharsets.UTF_8);
              long origin = ByteBuffer.wrap(key).getLong(separatorAt + 1);
              byte sign = key[key.length - 1];
              visitor.accept(
                  new ReplicatedSum(
                      name,
                      origin,
                      sign == ADDED ? amount : DecimalAmount.ZERO,
                      sign == WITHDRAWN ? amount : DecimalAmount.ZERO,
                      Math.max(1, expiryMillis - nowMillis)));
            });
  }

  /** Shards to visit. */
  public int shardCount() {
    return operations.table().shardCount();
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
