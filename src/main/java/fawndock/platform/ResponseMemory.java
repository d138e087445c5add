package fawndock.platform;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the memory of all responses that are held until they can be written, because an earlier
 * response of their connection is missing or because the client does not read. A request whose
 * response would have to wait is admitted only while a response of the expected size still fits.
 * Responses that exceed the limit all the same are dropped from the longest queue first (longest
 * queue drop), so that a client that does not read costs others nothing. Not thread-safe.
 */
final class ResponseMemory {
  /** The responses that one connection holds. */
  interface Queue {
    /** Returns the bytes of the responses that can still be dropped. */
    long droppableBytes();

    /** Replaces the last response that can be dropped by an error, and releases its memory. */
    void dropLast();
  }

  /** Weight of a response that is larger than the expected size. */
  private static final double INCREASE_WEIGHT = 1.0 / 8;

  /** Weight of a smaller response. It is low so that short responses do not hide long ones. */
  private static final double DECREASE_WEIGHT = 1.0 / 1_024;

  private final long maxBytes;
  private final Set<Queue> queues = new LinkedHashSet<>();
  private long heldBytes;
  private int queuedRequestCount;
  private double expectedBytes;

  /** Creates an empty memory with a limit in bytes. */
  ResponseMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Returns whether a request may be sent whose response has to wait for an earlier one, together
   * with all others of which this is true.
   */
  boolean admitsQueuedRequest() {
    return heldBytes + (queuedRequestCount + 1) * expectedBytes <= maxBytes;
  }

  /** Counts a request in flight whose response has to wait for an earlier one. */
  void onQueuedRequestStarted() {
    queuedRequestCount++;
  }

  /** Records that a request that was counted as queued has its response or has been abandoned. */
  void onQueuedRequestEnded() {
    queuedRequestCount--;
  }

  /** Counts the bytes of a response of this queue. */
  void hold(Queue queue, int bytes) {
    queues.add(queue);
    heldBytes += bytes;
    double weight = bytes > expectedBytes ? INCREASE_WEIGHT : DECREASE_WEIGHT;
    expectedBytes += weight * (bytes - expectedBytes);
  }

  /** Releases the bytes of a response that has been written or dropped. */
  void release(int bytes) {
    heldBytes -= bytes;
  }

  /** Drops responses until the limit is met or none is left that can be dropped. */
  void enforceLimit() {
    while (isExhausted()) {
      Queue longest = longestQueue();
      if (longest == null) {
        return;
      }
      longest.dropLast();
    }
  }

  private Queue longestQueue() {
    Queue longest = null;
    for (Queue queue : queues) {
      if (queue.droppableBytes() > (longest == null ? 0 : longest.droppableBytes())) {
        longest = queue;
      }
    }
    return longest;
  }

  /** Returns whether more bytes are held than the limit allows. */
  boolean isExhausted() {
    return heldBytes > maxBytes;
  }

  /** Forgets a queue, which has released or will release its bytes. */
  void remove(Queue queue) {
    queues.remove(queue);
  }

  long heldBytes() {
    return heldBytes;
  }
}
