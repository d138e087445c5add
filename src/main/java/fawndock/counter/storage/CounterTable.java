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
  public static final int NAME_COST = 72;

  private static final int USUAL = 1_024;
  private static final int SMALLEST = 4;

  /** Is shown names one by one; must not change the table. */
  @FunctionalInterface
  public interface Visitor {
    void name(byte[] name, DecimalAmount amount, long expiry);
  }

  private static final class Shard {
    byte[][] names = new byte[SMALLEST][];
    long[] digits = new long[SMALLEST];

    /** Twice the expiry, and one more for a fraction. */
    long[] marks = new long[SMALLEST];

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
    this(seed, USUAL);
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
  public int shards() {
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

  /** About the bytes of memory that the names take: their own and {@link #NAME_COST} each. */
  public long bytes() {
    return nameBytes + size * NAME_COST;
  }

  private Shard shardOf(long hash) {
    return shards[(int) (hash >>> shift)];
  }

  /** The slot that has the name, or ~ of the free one where it belongs. */
  private static int find(Shard shard, byte[] name, long hash) {
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
    int slot = find(shard, name, hash);
    return slot < 0 || expired(shard.marks[slot], now)
        ? null
        : new DecimalAmount(shard.digits[slot], (shard.marks[slot] & 1) != 0);
  }

  /**
   * Milliseconds since 1970 at which the name expires, 0 for never, -1 when it is not there or has
   * expired.
   */
  public long expiry(byte[] name, long now) {
    long hash = hasher.hashBytesToLong(name);
    Shard shard = shardOf(hash);
    int slot = find(shard, name, hash);
    return slot < 0 || expired(shard.marks[slot], now) ? -1 : shard.marks[slot] >> 1;
  }

  private static boolean expired(long mark, long now) {
    return mark >> 1 != 0 && mark >> 1 <= now;
  }

  /** Sets amount and expiry; the array becomes the table's. */
  public void put(byte[] name, DecimalAmount amount, long expiry) {
    long hash = hasher.hashBytesToLong(name);
    Shard shard = shardOf(hash);
    int slot = find(shard, name, hash);
    if (slot < 0) {
      slot = ~slot;
      shard.names[slot] = name;
      shard.size++;
      size++;
      nameBytes += name.length;
    }
    shard.digits[slot] = amount.digits();
    shard.marks[slot] = expiry << 1 | (amount.fraction() ? 1 : 0);
    if (shard.size * 4 > shard.names.length * 3) {
      resize(shard, shard.names.length * 2);
    }
  }

  /** Forgets a name; returns whether it was there, expired or not. */
  public boolean remove(byte[] name) {
    long hash = hasher.hashBytesToLong(name);
    Shard shard = shardOf(hash);
    int slot = find(shard, name, hash);
    if (slot < 0) {
      return false;
    }
    free(shard, slot);
    if (shard.size * 5 < shard.names.length && shard.names.length > SMALLEST) {
      resize(shard, shard.names.length / 2);
    }
    return true;
  }

  /** Empties a slot and moves up those after it that would not be found past the gap. */
  private void free(Shard shard, int slot) {
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
        shard.marks[gap] = shard.marks[i];
        gap = i;
      }
    }
    shard.names[gap] = null;
  }

  private void resize(Shard shard, int length) {
    byte[][] names = shard.names;
    long[] digits = shard.digits;
    long[] marks = shard.marks;
    shard.names = new byte[length][];
    shard.digits = new long[length];
    shard.marks = new long[length];
    for (int i = 0; i < names.length; i++) {
      if (names[i] != null) {
        int slot = ~find(shard, names[i], hasher.hashBytesToLong(names[i]));
        shard.names[slot] = names[i];
        shard.digits[slot] = digits[i];
        shard.marks[slot] = marks[i];
      }
    }
  }

  /** Shows the names of a shard that have not expired. */
  public void visit(int shard, long now, Visitor visitor) {
    Shard s = shards[shard];
    for (int i = 0; i < s.names.length; i++) {
      if (s.names[i] != null && !expired(s.marks[i], now)) {
        visitor.name(
            s.names[i], new DecimalAmount(s.digits[i], (s.marks[i] & 1) != 0), s.marks[i] >> 1);
      }
    }
  }

  /**
   * Looks at the next so many slots in turn and forgets the names there that have expired; returns
   * how many.
   */
  public int sweep(long now, int slots) {
    int forgotten = 0;
    for (int i = 0; i < slots; i++) {
      Shard shard = shards[sweepShard];
      if (sweepSlot >= shard.names.length) {
        sweepSlot = 0;
        sweepShard = (sweepShard + 1) % shards.length;
        if (shard.size * 5 < shard.names.length && shard.names.length > SMALLEST) {
          resize(shard, shard.names.length / 2);
        }
      } else if (shard.names[sweepSlot] != null && expired(shard.marks[sweepSlot], now)) {
        free(shard, sweepSlot); // Another may have moved up to this slot: it is looked at next.
        forgotten++;
      } else {
        sweepSlot++;
      }
    }
    return forgotten;
  }
}
