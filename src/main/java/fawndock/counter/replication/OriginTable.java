package fawndock.counter.replication;

import java.util.HashMap;
import java.util.Map;

/**
 * Which origins (gateway incarnations) were seen alive, and when. Only a stamp above the highest
 * seen counts as a sign of life: otherwise two nodes that tell each other of an origin that neither
 * hears would keep it alive for ever. Used from one thread.
 */
final class OriginTable {
  private static final int MAX_ORIGINS = 4_096;

  /** Silence after which an origin is left out of heartbeats. */
  private static final long ANNOUNCED_MILLIS = 30_000;

  /** Silence after which an origin is forgotten. */
  private static final long RETENTION_MILLIS = 3_600_000;

  /** The highest stamp of an origin, and when it was first seen here. */
  private record OriginState(long stamp, long lastSeenMillis) {}

  /** Is shown an origin and when it was last seen. */
  @FunctionalInterface
  interface SilentOriginVisitor {
    void onSilentOrigin(long origin, long lastSeenMillis);
  }

  private final Map<Long, OriginState> origins = new HashMap<>();

  /** An origin showed itself, here or at a peer, with a stamp that it raises each time. */
  void onStamp(long origin, long stamp, long nowMillis) {
    OriginState last = origins.get(origin);
    if (last == null ? origins.size() < MAX_ORIGINS : stamp > last.stamp) {
      origins.put(origin, new OriginState(stamp, nowMillis));
    }
  }

  /** The stamps to announce to peers; forgets origins that have long been silent. */
  Map<Long, Long> announcedStamps(long nowMillis) {
    origins.values().removeIf(each -> nowMillis - each.lastSeenMillis > RETENTION_MILLIS);
    Map<Long, Long> stamps = new HashMap<>();
    origins.forEach(
        (origin, state) -> {
          if (nowMillis - state.lastSeenMillis <= ANNOUNCED_MILLIS) {
            stamps.put(origin, state.stamp);
          }
        });
    return stamps;
  }

  /** Shows the origins that were last seen longer ago than a timeout. */
  void visitSilent(long nowMillis, long timeoutMillis, SilentOriginVisitor visitor) {
    origins.forEach(
        (origin, state) -> {
          if (nowMillis - state.lastSeenMillis > timeoutMillis) {
            visitor.onSilentOrigin(origin, state.lastSeenMillis);
          }
        });
  }
}
