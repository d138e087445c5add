package fawndock.policy.quota;

/** Computes when a rejected client may retry. */
public final class RetryAfter {
  private static final long SECOND_MICROS = 1_000_000;

  /** Time until a rejected request of a new customer may find memory for its quotas. */
  static final long UNTIL_MEMORY_IS_FREE_MICROS = SECOND_MICROS;

  private RetryAfter() {}

  /**
   * Returns the time until a quota may have units again: the rest of the window or, for a
   * concurrency limit, the mean latency of an attempt.
   */
  static long untilQuotaMicros(QuotaCharge charge, long nowMicros) {
    SlidingWindowQuota quota = charge.quota();
    return quota.kind() == QuotaKind.CONCURRENCY
        ? (long) charge.request().requestClass().meanLatencyMicros()
        : quota.windowMicros() - nowMicros % quota.windowMicros();
  }

  /** Rounds a time up to whole seconds, at least one; both are in microseconds. */
  public static long roundUpMicros(long waitMicros) {
    long seconds = Math.max(1, (waitMicros + SECOND_MICROS - 1) / SECOND_MICROS);
    return seconds * SECOND_MICROS;
  }
}
