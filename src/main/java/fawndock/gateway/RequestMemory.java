package fawndock.gateway;

import fawndock.memory.PartialMessageMemory;
import java.util.function.LongSupplier;

/**
 * Bounds the memory of request bodies: of those that have arrived in part, and of those whose
 * requests are in flight. Confined to one event loop.
 */
final class RequestMemory {
  /** Each kind of requests may hold the heap's limit divided by this, over all instances. */
  private static final long HEAP_DIVISOR = 16;

  private final long maxInFlightBytes;
  private final PartialMessageMemory partialBodies;
  private long inFlightBytes;

  /**
   * Creates an empty memory.
   *
   * @param maxBytes limit of the bodies in flight, and of those that have arrived in part
   */
  RequestMemory(long maxBytes, LongSupplier clockMicros) {
    maxInFlightBytes = maxBytes;
    partialBodies = new PartialMessageMemory(maxBytes, clockMicros);
  }

  /** Returns the limit in bytes of one kind of requests for one of the process's instances. */
  static long limitBytes(int instances) {
    return Runtime.getRuntime().maxMemory() / HEAP_DIVISOR / instances;
  }

  /** Returns the memory of bodies that have arrived in part. */
  PartialMessageMemory partialBodies() {
    return partialBodies;
  }

  /** Counts a whole body; returns false, and counts nothing, if it does not fit. */
  boolean tryAcquire(int bytes) {
    if (bytes > 0 && inFlightBytes + bytes > maxInFlightBytes) {
      return false;
    }
    inFlightBytes += bytes;
    return true;
  }

  /** Releases a body whose request has ended. */
  void release(int bytes) {
    inFlightBytes -= bytes;
  }
}
