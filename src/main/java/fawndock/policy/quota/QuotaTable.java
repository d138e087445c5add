package fawndock.policy.quota;

import fawndock.policy.EventContext;
import fawndock.policy.PendingRequest;
import fawndock.policy.config.Plan;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The quotas of recently active customers, and their counters by name. Customers are evicted after
 * so long without a request that their history has little weight. This may discard the risk
 * estimate of a customer that sends rare bursts.
 */
final class QuotaTable {
  /** The longest window; its counters live for two windows, 60 s. */
  private static final long MAX_WINDOW_MICROS = 30_000_000;

  private static final long EVICT_AFTER_WINDOWS = 12;
  private static final int MAX_EVICTIONS_PER_LOOKUP = 2;

  private final EventContext context;
  private final long concurrencyWindowMicros;

  /** Ordered by last use, least recently used first. */
  private final Map<String, SlidingWindowQuota> quotasByPrefix =
      new LinkedHashMap<>(64, 0.75f, true);

  private final Map<String, WindowCounter> countersByName = new LinkedHashMap<>();

  /**
   * Creates an empty table; the window of concurrency limits is the longest latency objective, at
   * most {@link #MAX_WINDOW_MICROS}.
   */
  QuotaTable(EventContext context, long maxLatencyObjectiveMicros) {
    this.context = context;
    this.concurrencyWindowMicros = Math.min(MAX_WINDOW_MICROS, maxLatencyObjectiveMicros);
  }

  /** Returns the counter of this name, or null if it was evicted. */
  WindowCounter counter(String name) {
    return countersByName.get(name);
  }

  /**
   * Returns the quota of a request's customer in its current window, or null if the plan sets none.
   */
  SlidingWindowQuota findOrCreate(PendingRequest request, QuotaKind kind) {
    Plan plan = request.plan();
    if (!kind.isSetBy(plan)) {
      return null;
    }
    String prefix = kind.counterNamePrefix(request.request().customer());
    evictUnused();
    SlidingWindowQuota quota =
        quotasByPrefix.computeIfAbsent(prefix, name -> create(kind, name, plan));
    startWindowIfNeeded(quota);
    return quota;
  }

  private SlidingWindowQuota create(QuotaKind kind, String prefix, Plan plan) {
    return switch (kind) {
      case RATE -> create(kind, prefix, plan.burstUnits(), plan.unitsPerSecond());
      case CEILING -> create(kind, prefix, plan.ceilingBurstUnits(), plan.ceilingUnitsPerSecond());
      case CONCURRENCY ->
          new SlidingWindowQuota(kind, prefix, concurrencyWindowMicros, plan.maxConcurrent());
    };
  }

  private static SlidingWindowQuota create(
      QuotaKind kind, String prefix, double burstUnits, double unitsPerSecond) {
    double seconds =
        Math.min(MAX_WINDOW_MICROS / 1e6, burstUnits > 0 ? burstUnits / unitsPerSecond : 1);
    long windowMicros = Math.max(1, (long) (seconds * 1e6));
    return new SlidingWindowQuota(kind, prefix, windowMicros, unitsPerSecond * seconds);
  }

  private void startWindowIfNeeded(SlidingWindowQuota quota) {
    long windowIndex = context.nowMicros() / quota.windowMicros();
    if (quota.isCurrentWindow(windowIndex)) {
      return;
    }
    if (quota.previousCounter() != null) {
      countersByName.remove(quota.previousCounter().name());
    }
    if (quota.currentCounter() != null && !quota.isCurrentWindow(windowIndex - 1)) {
      countersByName.remove(quota.currentCounter().name());
    }
    quota.startWindow(windowIndex, context.nowMicros());
    countersByName.put(quota.previousCounter().name(), quota.previousCounter());
    countersByName.put(quota.currentCounter().name(), quota.currentCounter());
  }

  private void evictUnused() {
    Iterator<SlidingWindowQuota> leastRecentlyUsed = quotasByPrefix.values().iterator();
    for (int i = 0; i < MAX_EVICTIONS_PER_LOOKUP && leastRecentlyUsed.hasNext(); i++) {
      SlidingWindowQuota quota = leastRecentlyUsed.next();
      long unusedMicros = context.nowMicros() - quota.demand().recordedAtMicros();
      if (unusedMicros < EVICT_AFTER_WINDOWS * quota.windowMicros()) {
        return;
      }
      leastRecentlyUsed.remove();
      countersByName.remove(quota.currentCounter().name());
      countersByName.remove(quota.previousCounter().name());
    }
  }
}
