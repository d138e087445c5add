package fawndock.counter.storage;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;

/**
 * Hash table of names with their amounts and expiry times: open addressing, split into many small
 * shards. Each shard is resized on its own, so that no call waits for the rehash of millions of
 * names; a snapshot or scan visits one shard at a time. An idle name takes its own bytes plus about
 * 50. Not thread-safe.
 */
public final class CounterTable {
  /** Memory overhead of a name in bytes, averaged over the load factors of the shards. */
  public static final int NAME_OVERHEAD_BYTES = 72;

  private static final int DEFAULT_SHARDS = 1_024;
  private static final int MIN_SLOTS = 4;

  /** Receives names one by one; must not change the table. */
  @FunctionalInterface
  public interface Visitor {
    void onName(byte[] name, DecimalAmount amount, long expiryMillis);
  }

  /** One shard: parallel arrays of slots, probed linearly. A slot is free if its name is null. */
  private static final class Shard {
    byte[][] names = new byte[MIN_SLOTS][];
    long[] unscaledValues = new long[MIN_SLOTS];

    /**
     * Expiry in milliseconds since 1970, shifted left by one; the lowest bit is set for a fraction.
     */
    long[] packedExpiries = new long[MIN_SLOTS];

    int size;
  }

  private final Hasher64 hasher;
  private final Shard[] shards;
  private final int shift;
  private long size;
  private long nameBytes;
  private int sweepShard;
  private int sweepSlot;

  /**
   * @param seed seed of the hash function; it must be unpredictable to those who choose names,
   *     since many names with the same hash slow the table down
   */
  public CounterTable(long seed) {
    this(seed, DEFAULT_SHARDS);
  }

  /**
   * @param shardCount a power of two, at least 2
   */
  public CounterTable(long seed, int shardCount) {
    hasher = Hashing.xxh3_64(seed);
    this.shards = new Shard[shardCount];
    shift = 64 - Integer.numberOfTrailingZeros(shardCount);
    clear();
  }

  /** Returns the number of shards. */
  public int shardCount() {
    return shards.length;
  }

  public void clear() {
    Arrays.setAll(shards, i -> new Shard());
    size = 0;
    nameBytes = 0;
  }

  /** Returns the number of names, including expired names that are not swept yet. */
  public long size() {
    return size;
  }

  /**
   * Returns the estimated memory of the names in bytes: their lengths plus {@link
   * #NAME_OVERHEAD_BYTES} each.
   */
  public long memoryBytes() {
    return nameBytes + size * NAME_OVERHEAD_BYTES;
  }

  private Shard shardOf(long hash) {
    return shards[(int) (hash >>> shift)];
  }

  /** Returns the slot of the name, or the bitwise complement of the free slot for it. */
  private static int findSlot(Shard shard, byte[] name, long hash) {
    int mask = shard.names.length - 1;
    int slot = (int) hash & mask;
    while (shard.names[slot] != null) {
      if (Arrays.equals(shard.names[slot], name)) {
        return slot;
      }
      slot = slot + 1 & mask;
    }
    return ~slot;
  }

  /** Returns the amount of a name, or null if the name is absent or has expired. */
  public DecimalAmount get(byte[] name, long nowMillis) {
    long hash = hasher.hashBytesToLong(name);
    Shard shard = shardOf(hash);
    int slot = findSlot(shard, name, hash);
    return slot < 0 || isExpired(shard.packedExpiries[slot], nowMillis)
        ? null
        : new DecimalAmount(shard.unscaledValues[slot], (shard.packedExpiries[slot] & 1) != 0);
  }

  /**
   * Returns the expiry of a name in milliseconds since 1970; 0 if it never expires, -1 if it is
   * absent or has expired.
   */
  public long expiryMillis(byte[] name, long nowMillis) {
    long hash = hasher.hashBytesToLong(name);
    Shard shard = shardOf(hash);
    int slot = findSlot(shard, name, hash);
    return slot < 0 || isExpired(shard.packedExpiries[slot], nowMillis)
        ? -1
        : shard.packedExpiries[slot] >> 1;
  }

  private static boolean isExpired(long packedExpiry, long nowMillis) {
    return packedExpiry >> 1 != 0 && packedExpiry >> 1 <= nowMillis;
  }

  /** Sets the amount and expiry of a name; the table takes ownership of the array. */
  public void put(byte[] name, DecimalAmount amount, long expiryMillis) {
    long hash = hasher.hashBytesToLong(name);
    Shard shard = shardOf(hash);
    int slot = findSlot(shard, name, hash);
    if (slot < 0) {
      slot = ~slot;
      shard.names[slot] = name;
      shard.size++;
      size++;
      nameBytes += name.length;
    }
    shard.unscaledValues[slot] = amount.unscaledValue();
    shard.packedExpiries[slot] = expiryMillis << 1 | (amount.isFraction() ? 1 : 0);
    if (shard.size * 4 > shard.names.length * 3) {
      resize(shard, shard.names.length * 2);
    }
  }

  /** Removes a name; returns whether the table contained it, expired or not. */
  public boolean remove(byte[] name) {
    long hash = hasher.hashBytesToLong(name);
    Shard shard = shardOf(hash);
    int slot = findSlot(shard, name, hash);
    if (slot < 0) {
      return false;
    }
    removeSlot(shard, slot);
    if (shard.size * 5 < shard.names.length && shard.names.length > MIN_SLOTS) {
      resize(shard, shard.names.length / 2);
    }
    return true;
  }

  /**
   * Empties a slot and moves later entries of the probe sequence back into the gap, so that lookups
   * still find them.
   */
  private void removeSlot(Shard shard, int slot) {
    int mask = shard.names.length - 1;
    shard.size--;
    size--;
    nameBytes -= shard.names[slot].length;
    int gap = slot;
    for (int i = slot + 1 & mask; shard.names[i] != null; i = i + 1 & mask) {
      int homeSlot = (int) hasher.hashBytesToLong(shard.names[i]) & mask;
      if ((i - homeSlot & mask) >= (i - gap & mask)) {
        shard.names[gap] = shard.names[i];
        shard.unscaledValues[gap] = shard.unscaledValues[i];
        shard.packedExpiries[gap] = shard.packedExpiries[i];
        gap = i;
      }
    }
    shard.names[gap] = null;
  }

  private void resize(Shard shard, int length) {
    byte[][] names = shard.names;
    long[] unscaledValues = shard.unscaledValues;
    long[] packedExpiries = shard.packedExpiries;
    shard.names = new byte[length][];
    shard.unscaledValues = new long[length];
    shard.packedExpiries = new long[length];
    for (int i = 0; i < names.length; i++) {
      if (names[i] != null) {
        int slot = ~findSlot(shard, names[i], hasher.hashBytesToLong(names[i]));
        shard.names[slot] = names[i];
        shard.unscaledValues[slot] = unscaledValues[i];
        shard.packedExpiries[slot] = packedExpiries[i];
      }
    }
  }

  /** Passes the unexpired names of a shard to a visitor. */
  public void visitShard(int shard, long nowMillis, Visitor visitor) {
    Shard s = shards[shard];
    for (int i = 0; i < s.names.length; i++) {
      if (s.names[i] != null && !isExpired(s.packedExpiries[i], nowMillis)) {
        visitor.onName(
            s.names[i],
            new DecimalAmount(s.unscaledValues[i], (s.packedExpiries[i] & 1) != 0),
            s.packedExpiries[i] >> 1);
      }
    }
  }

  /**
   * Checks the next {@code slots} slots, continuing from the previous call, and removes the expired
   * names in them; returns the number of names removed.
   */
  public int sweepExpired(long nowMillis, int slots) {
    int removed = 0;
    for (int i = 0; i < slots; i++) {
      Shard shard = shards[sweepShard];
      if (sweepSlot >= shard.names.length) {
        sweepSlot = 0;
        sweepShard = (sweepShard + 1) % shards.length;
        if (shard.size * 5 < shard.names.length && shard.names.length > MIN_SLOTS) {
          resize(shard, shard.names.length / 2);
        }
      } else if (shard.names[sweepSlot] != null
          && isExpired(shard.packedExpiries[sweepSlot], nowMillis)) {
        removeSlot(
            shard, sweepSlot); // Another name may have moved to this slot: it is checked next.
        removed++;
      } else {
        sweepSlot++;
      }
    }
    return removed;
  }
}
