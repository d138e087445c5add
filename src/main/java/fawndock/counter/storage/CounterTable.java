package fawndock.counter.storage;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;

/**
 * Names with their amounts and expiry, in open addressing over many small shards. A shard grows by
 * itself, so that no call waits while millions of names are moved, and a snapshot or a scan goes
 * shard by shard. An idle name costs its bytes and some 50 more. Used from one thread at a time.
 */
public final class CounterTable {
  /** Bytes of memory that a name takes besides its own, on average over how full the shards are. */
  public static final int NAME_OVERHEAD_BYTES = 72;

  private static final int DEFAULT_SHARDS = 1_024;
  private static final int MIN_SLOTS = 4;

  /** Is shown names one by one; must not change the table. */
  @FunctionalInterface
  public interface Visitor {
    void onName(byte[] name, DecimalAmount amount, long expiry);
  }

  private static final class Shard {
    byte[][] names = new byte[MIN_SLOTS][];
    long[] digits = new long[MIN_SLOTS];

    /** Twice the expiry, and one more for a fraction. */
    long[] expiryMarks = new long[MIN_SLOTS];

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
   * @param seed of the hash, which those who choose names should not know: many of one hash would
   *     be slow
   */
  public CounterTable(long seed) {
    this(seed, DEFAULT_SHARDS);
  }

  /**
   * @param shards a power of two from 2
   */
  public CounterTable(long seed, int shards) {
    hasher = Hashing.xxh3_64(seed);
    this.shards = new Shard[shards];
    shift = 64 - Integer.numberOfTrailingZeros(shards);
    clear();
  }

  /** Number of shards. */
  public int shardCount() {
    return shards.length;
  }

  public void clear() {
    Arrays.setAll(shards, i -> new Shard());
    size = 0;
    nameBytes = 0;
  }

  /** Names, those among them that have expired and were not yet swept. */
  public long size() {
    return size;
  }

  /**
   * About the bytes of memory that the names take: their own and {@link #NAME_OVERHEAD_BYTES} each.
   */
  public long memoryBytes() {
    return nameBytes + size * NAME_OVERHEAD_BYTES;
  }

  private Shard shardOf(long hash) {
    return shards[(int) (hash >>> shift)];
  }

  /** The slot that has the name, or ~ of the free one where it belongs. */
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

  /** The amount, or null when the name is not there or has expired by now. */
  public DecimalAmount get(byte[] name, long now) {
    long hash = hasher.hashBytesToLong(name);
    Shard shard = shardOf(hash);
    int slot = findSlot(shard, name, hash);
    return slot < 0 || isExpired(shard.expiryMarks[slot], now)
        ? null
        : new DecimalAmount(shard.digits[slot], (shard.expiryMarks[slot] & 1) != 0);
  }

  /**
   * Milliseconds since 1970 at which the name expires, 0 for never, -1 when it is not there or has
   * expired.
   */
  public long expiryMillis(byte[] name, long now) {
    long hash = hasher.hashBytesToLong(name);
    Shard shard = shardOf(hash);
    int slot = findSlot(shard, name, hash);
    return slot < 0 || isExpired(shard.expiryMarks[slot], now) ? -1 : shard.expiryMarks[slot] >> 1;
  }

  private static boolean isExpired(long mark, long now) {
    return mark >> 1 != 0 && mark >> 1 <= now;
  }

  /** Sets amount and expiry; the array becomes the table's. */
  public void put(byte[] name, DecimalAmount amount, long expiry) {
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
    shard.digits[slot] = amount.unscaledValue();
    shard.expiryMarks[slot] = expiry << 1 | (amount.isFraction() ? 1 : 0);
    if (shard.size * 4 > shard.names.length * 3) {
      resize(shard, shard.names.length * 2);
    }
  }

  /** Forgets a name; returns whether it was there, expired or not. */
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

  /** Empties a slot and moves up those after it that would not be found past the gap. */
  private void removeSlot(Shard shard, int slot) {
    int mask = shard.names.length - 1;
    shard.size--;
    size--;
    nameBytes -= shard.names[slot].length;
    int gap = slot;
    for (int i = slot + 1 & mask; shard.names[i] != null; i = i + 1 & mask) {
      int home = (int) hasher.hashBytesToLong(shard.names[i]) & mask;
      if ((i - home & mask) >= (i - gap & mask)) {
        shard.names[gap] = shard.names[i];
        shard.digits[gap] = shard.digits[i];
        shard.expiryMarks[gap] = shard.expiryMarks[i];
        gap = i;
      }
    }
    shard.names[gap] = null;
  }

  private void resize(Shard shard, int length) {
    byte[][] names = shard.names;
    long[] digits = shard.digits;
    long[] marks = shard.expiryMarks;
    shard.names = new byte[length][];
    shard.digits = new long[length];
    shard.expiryMarks = new long[length];
    for (int i = 0; i < names.length; i++) {
      if (names[i] != null) {
        int slot = ~findSlot(shard, names[i], hasher.hashBytesToLong(names[i]));
        shard.names[slot] = names[i];
        shard.digits[slot] = digits[i];
        shard.expiryMarks[slot] = marks[i];
      }
    }
  }

  /** Shows the names of a shard that have not expired. */
  public void visitShard(int shard, long now, Visitor visitor) {
    Shard s = shards[shard];
    for (int i = 0; i < s.names.length; i++) {
      if (s.names[i] != null && !isExpired(s.expiryMarks[i], now)) {
        visitor.onName(
            s.names[i],
            new DecimalAmount(s.digits[i], (s.expiryMarks[i] & 1) != 0),
            s.expiryMarks[i] >> 1);
      }
    }
  }

  /**
   * Looks at the next so many slots in turn and forgets the names there that have expired; returns
   * how many.
   */
  public int sweepExpired(long now, int slots) {
    int forgotten = 0;
    for (int i = 0; i < slots; i++) {
      Shard shard = shards[sweepShard];
      if (sweepSlot >= shard.names.length) {
        sweepSlot = 0;
        sweepShard = (sweepShard + 1) % shards.length;
        if (shard.size * 5 < shard.names.length && shard.names.length > MIN_SLOTS) {
          resize(shard, shard.names.length / 2);
        }
      } else if (shard.names[sweepSlot] != null && isExpired(shard.expiryMarks[sweepSlot], now)) {
        removeSlot(
            shard, sweepSlot); // Another may have moved up to this slot: it is looked at next.
        forgotten++;
      } else {
        sweepSlot++;
      }
    }
    return forgotten;
  }
}
