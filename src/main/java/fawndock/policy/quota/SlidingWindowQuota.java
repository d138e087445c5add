package fawndock.policy.quota;

/**
 * One customer's quota of one kind, counted in a current and a previous window: the previous total
 * counts by the part of its window that a window ending now still covers.
 */
public final class SlidingWindowQuota {
  private final QuotaKind kind;
  private final String counterNamePrefix;
  private final long windowMicros;
  private final double limitUnits;
  private final DemandEstimator demand;
  private final CustomerRisk customerRisk = new CustomerRisk();
  private final TokenBucketEstimate tokenBucket;
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
        kind == QuotaKind.RATE ? new TokenBucketEstimate(limitUnits, windowMicros) : null;
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

  /** Units that a window may hold; attempts, for {@link QuotaKind#CONCURRENCY}. */
  double limitUnits() {
    return limitUnits;
  }

  DemandEstimator demand() {
    return demand;
  }

  CustomerRisk customerRisk() {
    return customerRisk;
  }

  /** The plan's token bucket; only for {@link QuotaKind#RATE}. */
  TokenBucketEstimate tokenBucket() {
    return tokenBucket;
  }

  /** This instance's part of the rate; only for {@link QuotaKind#CEILING}. */
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

  /** Starts a window; the current counter becomes the previous one where it is the one before. */
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

  /** The weighted estimate of the use in a window that ends now; a total below 0 is no credit. */
  public static double estimate(
      double previousUnits, double currentUnits, long elapsedMicros, long windowMicros) {
    return Math.max(0, previousUnits) * (windowMicros - elapsedMicros) / windowMicros
        + currentUnits;
  }
}
