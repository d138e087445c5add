package fawndock.policy.quota;

/**
 * One customer's quota of one kind, counted in a current and a previous window. The previous total
 * is weighted by the part of its window that a full window ending now still covers.
 */
public final class SlidingWindowQuota {
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
