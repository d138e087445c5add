package fawndock.platform;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The ids of requests that may have run and whose clients disconnected before the response. Until
 * the request's deadline its id is not accepted again, since it would run a second time. At most
 * {@link #MAX_IDS} ids are kept, the most recent ones. Not thread-safe.
 */
final class UnansweredRequests {
  static final int MAX_IDS = 4_096;

  private final LongSupplier clockMicros;

  /** The time until which each id is kept, in the order of the disconnects. */
  private final Map<String, Long> expiryMicrosById = new LinkedHashMap<>();

  UnansweredRequests(LongSupplier clockMicros) {
    this.clockMicros = clockMicros;
  }

  /** Keeps an id until this time. */
  void add(String id, long expiryMicros) {
    expiryMicrosById.put(id, expiryMicros);
    if (expiryMicrosById.size() > MAX_IDS) {
      expiryMicrosById.remove(expiryMicrosById.keySet().iterator().next());
    }
  }

  boolean contains(String id) {
    Long expiryMicros = expiryMicrosById.get(id);
    return expiryMicros != null && clockMicros.getAsLong() < expiryMicros;
  }

  /** Forgets the ids whose time has passed. */
  void removeExpired() {
    long nowMicros = clockMicros.getAsLong();
    expiryMicrosById.values().removeIf(expiryMicros -> expiryMicros <= nowMicros);
  }

  int size() {
    return expiryMicrosById.size();
  }
}
