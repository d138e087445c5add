package fawndock.memory;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Map.Entry;
import java.util.function.LongSupplier;

/**
 * Bounds the memory of all messages that have been received in part, over the connections of one
 * kind. At the limit it evicts the message with the largest space-time product: one that is long
 * and has not ended for long goes before one that is short or has just begun. Not thread-safe.
 */
public final class PartialMessageMemory {
  /** A connection that has received a part of a message. */
  public interface Holder {
    /** Drops what has been received; it counts as released. */
    void onEvicted();
  }

  private record Holding(long bytes, long sinceMicros) {
    /** Counts a message that has just begun as held for this time. */
    private static final long MIN_AGE_MICROS = 1_000;

    private double spaceTimeProduct(long nowMicros) {
      return (double) bytes * (nowMicros - sinceMicros + MIN_AGE_MICROS);
    }
  }

  private final long maxBytes;
  private final LongSupplier clockMicros;
  private final Map<Holder, Holding> holdings = new LinkedHashMap<>();
  private long heldBytes;

  /**
   * Creates an empty memory.
   *
   * @param maxBytes limit of all holders together
   * @param clockMicros the time in microseconds
   */
  public PartialMessageMemory(long maxBytes, LongSupplier clockMicros) {
    this.maxBytes = maxBytes;
    this.clockMicros = clockMicros;
  }

  /**
   * Sets what a holder holds now, and evicts messages until the limit is met; the holder itself may
   * be among them.
   *
   * @param bytes memory of the message that is not whole, 0 if there is none
   * @param hasProgressed whether an earlier message has ended since the last call, so that this one
   *     has just begun
   */
  public void update(Holder holder, long bytes, boolean hasProgressed) {
    Holding former = removeHolding(holder);
    if (bytes > 0) {
      long sinceMicros =
          former == null || hasProgressed ? clockMicros.getAsLong() : former.sinceMicros;
      holdings.put(holder, new Holding(bytes, sinceMicros));
      heldBytes += bytes;
    }
    while (heldBytes > maxBytes) {
      evictLargest();
    }
  }

  /** Forgets a holder that holds nothing any more. */
  public void release(Holder holder) {
    removeHolding(holder);
  }

  private Holding removeHolding(Holder holder) {
    Holding former = holdings.remove(holder);
    if (former != null) {
      heldBytes -= former.bytes;
    }
    return former;
  }

  private void evictLargest() {
    long nowMicros = clockMicros.getAsLong();
    Entry<Holder, Holding> largest = null;
    for (Entry<Holder, Holding> entry : holdings.entrySet()) {
      if (largest == null
          || entry.getValue().spaceTimeProduct(nowMicros)
              > largest.getValue().spaceTimeProduct(nowMicros)) {
        largest = entry;
      }
    }
    Holder evicted = largest.getKey();
    release(evicted);
    evicted.onEvicted();
  }

  /** Returns what all holders hold, in bytes. */
  public long heldBytes() {
    return heldBytes;
  }
}
