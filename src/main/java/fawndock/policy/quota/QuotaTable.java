package fawndock.policy.quota;

import fawndock.policy.EventContext;
import fawndock.policy.PendingRequest;
import fawndock.policy.config.Plan;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The quotas of recently active customers, in bounded memory. A quota is evicted after so long
 * without a request that its history has little weight, and earlier if the memory is needed: the
 * least recently used one first, but much used ones last. A quota in use is never evicted, and one
 * that owes units to its counter only while the counter fails, so that debts do not fill the
 * memory. An evicted customer is counted on, since the totals are held by the counter service; what
 * is lost is this instance's estimate of its demand and risk.
 */
final class QuotaTable {
  /** The longest window; its counters live for two windows, 60 s. */
  private static final long MAX_WINDOW_MICROS = 30_000_000;

  private static final long EVICT_AFTER_WINDOWS = 12;
  private static final int MAX_EVICTIONS_PER_LOOKUP = 2;

  /** Quotas examined in one search for memory, so that a full table costs a request little time. */
  private static final int MAX_EXAMINED_QUOTAS = 64;

  private final EventContext context;
  private final long concurrencyWindowMicros;
  private final long maxBytes;
  private final CounterThrottle throttle;
  private final Consumer<SlidingWindowQuota> evictionListener;

  /** Ordered by last use, least recently used first. */
  private final Map<String, SlidingWindowQuota> quotasByPrefix =
      new LinkedHashMap<>(64, 0.75f, true);

  private long usedBytes;

  /**
   * Creates an empty table; the window of concurrency limits is the longest latency objective, at
   * most {@link #MAX_WINDOW_MICROS}.
   *
   * @param evictionListener called with each quota that is evicted because the memory is full
   */
  QuotaTable(
      EventContext context,
      long maxLatencyObjectiveMicros,
      long maxBytes,
      CounterThrottle throttle,
      Consumer<SlidingWindowQuota> evictionListener) {
    this.context = context;
    this.concurrencyWindowMicros = Math.min(MAX_WINDOW_MICROS, maxLatencyObjectiveMicros);
    this.maxBytes = maxBytes;
    this.throttle = throttle;
    this.evictionListener = evictionListener;
  }

  /**
   * Returns the quota of a request's customer in its current window, or null if it is new and there
   * is no memory for it. The plan must set a quota of this kind.
   */
  SlidingWindowQuota findOrCreate(PendingRequest request, QuotaKind kind) {
    String prefix = kind.counterNamePrefix(request.request().customer());
    evictUnused();
    SlidingWindowQuota quota = quotasByPrefix.get(prefix);
    if (quota == null) {
      quota = create(kind, prefix, request.plan());
      if (!makeRoom(quota.sizeBytes())) {
        return null;
      }
      quotasByPrefix.put(prefix, quota);
      usedBytes += quota.sizeBytes();
    }
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
    if (!quota.isCurrentWindow(windowIndex)) {
      quota.startWindow(windowIndex, context.nowMicros());
    }
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
      usedBytes -= quota.sizeBytes();
    }
  }

  /** Evicts quotas until a new one of this size fits; returns whether it does. */
  private boolean makeRoom(long bytes) {
    long nowMicros = context.nowMicros();
    evict(bytes, quota -> !quota.owesUnits(nowMicros) && !quota.isMuchUsed(nowMicros));
    evict(bytes, quota -> mayForgetUnitsOf(quota) && !quota.isMuchUsed(nowMicros));
    evict(bytes, this::mayForgetUnitsOf);
    return hasRoom(bytes);
  }

  private boolean mayForgetUnitsOf(SlidingWindowQuota quota) {
    return throttle.hasFailedRecently() || !quota.owesUnits(context.nowMicros());
  }

  /**
   * Evicts quotas that are not in use and for which the condition holds, until there is room or
   * enough quotas have been examined. The others move to the end of the order (second chance), so
   * that the next search finds others.
   */
  private void evict(long bytes, Predicate<SlidingWindowQuota> condition) {
    int quotasToExamine = Math.min(MAX_EXAMINED_QUOTAS, quotasByPrefix.size());
    for (int i = 0; i < quotasToExamine && !hasRoom(bytes); i++) {
      SlidingWindowQuota quota = quotasByPrefix.values().iterator().next();
      if (!quota.isInUse() && condition.test(quota)) {
        quotasByPrefix.remove(quota.counterNamePrefix());
        usedBytes -= quota.sizeBytes();
        evictionListener.accept(quota);
      } else {
        quotasByPrefix.get(quota.counterNamePrefix()); // An access moves it to the end.
      }
    }
  }

  private boolean hasRoom(long bytes) {
    return usedBytes + bytes <= maxBytes;
  }
}
