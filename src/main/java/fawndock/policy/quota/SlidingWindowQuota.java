package fawndock.policy.quota;

/**
 * One customer's quota of one kind, counted in a current and a previous window. The previous total
 * is weighted by the part of its window that a full window ending now still covers.
 */
public final class SlidingWindowQuota {
  /** Memory of a quota with its two counters and its table entry, without the names. */
  private static final int OBJECT_BYTES = 416;

  /** Memory of a string without its characters. */
  private static final int STRING_BYTES = 40;

  /** The names of the two counters, and their common prefix. */
  private static final int NAME_COUNT = 3;

  /** A quota is worth keeping from this use on, as a ratio of its limit. */
  private static final double MUCH_USED_LIMIT_RATIO = 0.5;

  private final QuotaKind kind;
  private final String counterNamePrefix;
  private final long windowMicros;
  private final double limitUnits;
  private final DemandEstimator demand;
  private final CustomerRisk customerRisk = new CustomerRisk();
  private final TokenBucketReplay tokenBucket;
  private final LocalTokenBucket localTokenBucket;
  private WindowCounter currentCounter;
  private WindowCounter previousCounter;
  private int activeCharges;

  SlidingWindowQuota(
      QuotaKind kind, String counterNamePrefix, long windowMicros, double limitUnits) {
    this.kind = kind;
    this.counterNamePrefix = counterNamePrefix;
    this.windowMicros = windowMicros;
    this.limitUnits = limitUnits;
    this.demand = new DemandEstimator(windowMicros);
    this.tokenBucket =
        kind == QuotaKind.RATE ? new TokenBucketReplay(limitUnits, windowMicros) : null;
    this.localTokenBucket =
        kind == QuotaKind.CEILING ? new LocalTokenBucket(limitUnits, windowMicros) : null;
  }

  /** Returns the approximate memory of the quota, in bytes. */
  long sizeBytes() {
    return OBJECT_BYTES + (long) NAME_COUNT * (STRING_BYTES + counterNamePrefix.length());
  }

  void onChargeStarted() {
    activeCharges++;
  }

  void onChargeEnded() {
    activeCharges--;
  }

  /**
   * Returns whether requests in flight are charged to the quota or its counters are being called.
   */
  boolean isInUse() {
    return activeCharges > 0
        || currentCounter.hasCallsInFlight()
        || previousCounter.hasCallsInFlight();
  }

  /** Returns whether units are still to be sent to the counters, which a new quota would not do. */
  boolean owesUnits(long nowMicros) {
    return currentCounter.owesUnits(nowMicros) || previousCounter.owesUnits(nowMicros);
  }

  /**
   * Returns whether much of the limit was used in the last two windows. A new quota would not know
   * it until the counter replies.
   */
  boolean isMuchUsed(long nowMicros) {
    double forwardedUnits =
        currentCounter.relevantForwardedUnits(nowMicros)
            + previousCounter.relevantForwardedUnits(nowMicros);
    return forwardedUnits >= MUCH_USED_LIMIT_RATIO * limitUnits;
  }

  QuotaKind kind() {
    return kind;
  }

  String counterNamePrefix() {
    return counterNamePrefix;
  }

  long windowMicros() {
    return windowMicros;
  }

  /**
   * Returns the units that may be used in a window; for {@link QuotaKind#CONCURRENCY}, the maximum
   * of attempts in flight.
   */
  double limitUnits() {
    return limitUnits;
  }

  DemandEstimator demand() {
    return demand;
  }

  CustomerRisk customerRisk() {
    return customerRisk;
  }

  /** Returns the plan's token bucket; null unless the kind is {@link QuotaKind#RATE}. */
  TokenBucketReplay tokenBucket() {
    return tokenBucket;
  }

  /**
   * Returns the token bucket of this instance's share of the rate; null unless the kind is {@link
   * QuotaKind#CEILING}.
   */
  LocalTokenBucket localTokenBucket() {
    return localTokenBucket;
  }

  WindowCounter currentCounter() {
    return currentCounter;
  }

  WindowCounter previousCounter() {
    return previousCounter;
  }

  boolean isCurrentWindow(long windowIndex) {
    return currentCounter != null && currentCounter.windowIndex() == windowIndex;
  }

  /**
   * Starts a window. If it directly follows the current one, the current counter becomes the
   * previous one.
   */
  void startWindow(long windowIndex, long nowMicros) {
    boolean isConsecutive = isCurrentWindow(windowIndex - 1);
    previousCounter = isConsecutive ? currentCounter : new WindowCounter(this, windowIndex - 1);
    currentCounter = new WindowCounter(this, windowIndex);
    if (tokenBucket != null) {
      tokenBucket.startWindow(isConsecutive, nowMicros);
    }
    if (localTokenBucket != null && !isConsecutive) {
      localTokenBucket.reset(nowMicros);
    }
  }

  double estimate(double previousUnits, double currentUnits, long nowMicros) {
    return estimate(previousUnits, currentUnits, nowMicros % windowMicros, windowMicros);
  }

  /**
   * Returns the weighted estimate of the units used in a window that ends now; a negative previous
   * total counts as 0.
   */
  public static double estimate(
      double previousUnits, double currentUnits, long elapsedMicros, long windowMicros) {
    return Math.max(0, previousUnits) * (windowMicros - elapsedMicros) / windowMicros
        + currentUnits;
  }
}
