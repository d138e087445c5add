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
  private final CustomerRisk risk = new CustomerRisk();
  private final TokenBucketReplay bucket;
  private final LocalTokenBucket localBucket;
  private WindowCounter current;
  private WindowCounter previous;

  SlidingWindowQuota(
      QuotaKind kind, String counterNamePrefix, long windowMicros, double limitUnits) {
    this.kind = kind;
    this.counterNamePrefix = counterNamePrefix;
    this.windowMicros = windowMicros;
    this.limitUnits = limitUnits;
    this.demand = new DemandEstimator(windowMicros);
    this.bucket = kind == QuotaKind.RATE ? new TokenBucketReplay(limitUnits, windowMicros) : null;
    this.localBucket =
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

  CustomerRisk risk() {
    return risk;
  }

  /** The plan's token bucket; only for {@link QuotaKind#RATE}. */
  TokenBucketReplay bucket() {
    return bucket;
  }

  /** This instance's part of the rate; only for {@link QuotaKind#CEILING}. */
  LocalTokenBucket localBucket() {
    return localBucket;
  }

  WindowCounter current() {
    return current;
  }

  WindowCounter previous() {
    return previous;
  }

  boolean isCurrent(long windowIndex) {
    return current != null && current.windowIndex() == windowIndex;
  }

  /** Starts a window; the current counter becomes the previous one where it is the one before. */
  void startWindow(long windowIndex, long nowMicros) {
    boolean isNext = isCurrent(windowIndex - 1);
    previous = isNext ? current : new WindowCounter(this, windowIndex - 1);
    current = new WindowCounter(this, windowIndex);
    if (bucket != null) {
      bucket.startWindow(isNext, nowMicros);
    }
    if (localBucket != null && !isNext) {
      localBucket.reset(nowMicros);
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
