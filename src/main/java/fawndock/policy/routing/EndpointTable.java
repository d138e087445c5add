package fawndock.policy.routing;

import fawndock.policy.EventContext;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.action.WatchEndpoints;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.PolicyTimer;
import java.util.List;
import java.util.TreeMap;

/**
 * Holds the endpoints that discovery lists, and those that still have attempts in flight. Not
 * thread-safe.
 */
final class EndpointTable {
  /** Number of retries within the time in which discovery must be watched. */
  private static final int WATCH_RETRIES_PER_TIME_LIMIT = 8;

  private final EventContext context;
  private final ConcurrencyLimiter limiter;
  private final long watchRetryMicros;
  private final boolean mustWatchEndpoints;
  private final TreeMap<String, TrackedEndpoint> endpoints = new TreeMap<>();
  private List<TrackedEndpoint> running = List.of();

  EndpointTable(EventContext context, ConcurrencyLimiter limiter, PolicyConfig config) {
    this.context = context;
    this.limiter = limiter;
    this.watchRetryMicros =
        Math.max(1, config.rules().watchWithinMicros() / WATCH_RETRIES_PER_TIME_LIMIT);
    this.mustWatchEndpoints = config.mustWatchEndpoints();
  }

  /** Returns the endpoints that take new requests, ordered by id. */
  List<TrackedEndpoint> running() {
    return running;
  }

  void onUpdate(EndpointUpdate update) {
    if (update.kind() == EndpointUpdateKind.FAILED) {
      context.emit(new ScheduleTimer(watchRetryMicros, new PolicyTimer.RewatchEndpoints()));
      return;
    }
    if (update.kind() != EndpointUpdateKind.CHANGES) {
      endpoints.values().forEach(TrackedEndpoint::markNotListed);
    }
    for (Endpoint endpoint : update.endpoints()) {
      endpoints.computeIfAbsent(endpoint.id(), id -> new TrackedEndpoint()).update(endpoint);
    }
    limiter.initialize(endpoints.size());
    endpoints.values().removeIf(endpoint -> !endpoint.isRunning() && !endpoint.hasInFlight());
    running = endpoints.values().stream().filter(TrackedEndpoint::isRunning).toList();
    if (update.kind() == EndpointUpdateKind.CACHED && mustWatchEndpoints) {
      context.emit(new WatchEndpoints());
    }
  }
}
