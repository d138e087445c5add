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
 * The replicated sums: a state-based CRDT that keeps for each name a PN-counter with one entry for
 * each origin, merged by maximum. They are stored in the counter table, so that logging, snapshots,
 * recovery and expiry work as for all other names, and any client can read a total by its name. Not
 * thread-safe.
 *
 * <table>
 *   <caption>Keys in the table; stored files contain them</caption>
 *   <tr><th>key</th><th>value</th></tr>
 *   <tr><td>name</td><td>the total: all added amounts minus all withdrawn amounts</td></tr>
 *   <tr><td>name, 0 (1 byte), origin (8, big-endian), {@code +}</td><td>amount added</td></tr>
 *   <tr><td>name, 0 (1 byte), origin (8, big-endian), {@code -}</td><td>amount withdrawn</td></tr>
 * </table>
 *
 * <p>Invariant: all keys of a name expire at the same time; otherwise an entry that expired before
 * the total would be added to the total again.
 */
public final class ReplicatedSums {
  /** Separates the name from the origin in a key; a name must not contain it. */
  private static final char ORIGIN_SEPARATOR = '\0';

  private static final int KEY_SUFFIX_BYTES = 1 + Long.BYTES + 1;
  private static final byte ADDED = '+';
  private static final byte WITHDRAWN = '-';
  private final CounterOperations operations;

  public ReplicatedSums(CounterOperations operations) {
    this.operations = operations;
  }

  /**
   * Merges the state of one origin: keeps the larger of each amount and updates the total.
   *
   * @return the growth of the net sum of the origin, or null if neither amount grew
   * @throws CommandException when the name is invalid, or the total overflows or exceeds the memory
   *     limit; nothing is changed then
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

  /**
   * Adds to the total; returns the expiry of the name, which is the given one if the name is new.
   */
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

  /** Returns by how much an amount exceeds the stored one, or zero if it does not. */
  private DecimalAmount growth(byte[] key, DecimalAmount amount, long nowMillis)
      throws CommandException {
    DecimalAmount current = operations.table().get(key, nowMillis);
    DecimalAmount growth = current == null ? amount : amount.plus(current.negated());
    return growth.unscaledValue() > 0 ? growth : DecimalAmount.ZERO;
  }

  /** Returns the total of a name. */
  public DecimalAmount total(String name, long nowMillis) {
    return orZero(operations.table().get(name.getBytes(StandardCharsets.UTF_8), nowMillis));
  }

  /** Returns the state of one origin on a name, or null if there is none. */
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

  /**
   * Passes all sums of a shard to a visitor; added and withdrawn amounts are separate sums, which
   * merge in any order.
   */
  public void visitShard(int shard, long nowMillis, Consumer<ReplicatedSum> visitor) {
    operations
        .table()
        .visitShard(
            shard,
            nowMillis,
            (key, amount, expiryMillis) -> {
              int separatorIndex = key.length - KEY_SUFFIX_BYTES;
              if (separatorIndex <= 0 || key[separatorIndex] != ORIGIN_SEPARATOR) {
                return; // The key of a total.
              }
              String name = new String(key, 0, separatorIndex, StandardCharsets.UTF_8);
              long origin = ByteBuffer.wrap(key).getLong(separatorIndex + 1);
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

  /** Returns the number of shards to visit. */
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
