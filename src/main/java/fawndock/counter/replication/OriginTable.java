package fawndock.counter.replication;

import java.util.HashMap;
import java.util.Map;

/**
 * Table of the origins (gateway incarnations) with the time at which each was last seen alive. Only
 * a stamp higher than all previous ones proves that an origin is alive: otherwise two nodes that
 * announce to each other an origin that neither can reach would keep it alive forever. Confined to
 * one thread.
 */
final class OriginTable {
  private static final int MAX_ORIGINS = 4_096;

  /** Time since an origin was last seen after which heartbeats omit it. */
  private static final long ANNOUNCE_TIMEOUT_MILLIS = 30_000;

  /** Time since an origin was last seen after which its entry is removed. */
  private static final long RETENTION_MILLIS = 3_600_000;

  /** The highest stamp of an origin and the time at which this node first saw that stamp. */
  private record OriginState(long stamp, long lastSeenMillis) {}

  /** Receives an origin and the time at which it was last seen. */
  @FunctionalInterface
  interface SilentOriginVisitor {
    void onSilentOrigin(long origin, long lastSeenMillis);
  }

  private final Map<Long, OriginState> origins = new HashMap<>();

  /**
   * Handles a stamp of an origin, received from the origin or from a peer; the origin increases it
   * each time.
   */
  void onStamp(long origin, long stamp, long nowMillis) {
    OriginState previous = origins.get(origin);
    if (previous == null ? origins.size() < MAX_ORIGINS : stamp > previous.stamp) {
      origins.put(origin, new OriginState(stamp, nowMillis));
    }
  }

  /**
   * Returns the stamps to announce to peers; removes origins that were not seen for the retention
   * time.
   */
  Map<Long, Long> announcedStamps(long nowMillis) {
    origins.values().removeIf(state -> nowMillis - state.lastSeenMillis > RETENTION_MILLIS);
    Map<Long, Long> stamps = new HashMap<>();
    origins.forEach(
        (origin, state) -> {
          if (nowMillis - state.lastSeenMillis <= ANNOUNCE_TIMEOUT_MILLIS) {
            stamps.put(origin, state.stamp);
          }
        });
    return stamps;
  }

  /** Passes the origins that were not seen for longer than a timeout to a visitor. */
  void visitSilent(long nowMillis, long timeoutMillis, SilentOriginVisitor visitor) {
    origins.forEach(
        (origin, state) -> {
          if (nowMillis - state.lastSeenMillis > timeoutMillis) {
            visitor.onSilentOrigin(origin, state.lastSeenMillis);
          }
        });
  }
}
