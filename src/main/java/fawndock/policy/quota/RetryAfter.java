package fawndock.policy.quota;

/** When a rejected client may try again. */
public final class RetryAfter {
  private static final long SECOND_MICROS = 1_000_000;

  private RetryAfter() {}

  /** The time until a quota may have units again: the rest of the window, or a mean attempt. */
  static long untilQuotaMicros(QuotaCharge charge, long nowMicros) {
    SlidingWindowQuota quota = charge.quota();
    return quota.kind() == QuotaKind.CONCURRENCY
        ? (long) charge.request().requestClass().meanLatencyMicros()
        : quota.windowMicros() - nowMicros % quota.windowMicros();
  }

  /** The whole seconds of a time, at least one, in microseconds. */
  public static long roundUpMicros(long waitMicros) {
    long seconds = Math.max(1, (waitMicros + SECOND_MICROS - 1) / SECOND_MICROS);
    return seconds * SECOND_MICROS;
  }
}
