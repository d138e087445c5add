package fawndock.policy.quota;

import fawndock.policy.PendingRequest;

/** What one request counts for against one quota, and the total found before it. */
public final class QuotaCharge {
  private final PendingRequest request;
  private final SlidingWindowQuota quota;
  private final WindowCounter counter;
  private final double units;
  private final int demandLevel;
  private double totalBeforeUnits = Double.NaN;
  private double countedUnits;

  QuotaCharge(PendingRequest request, SlidingWindowQuota quota, double units, int demandLevel) {
    this.request = request;
    this.quota = quota;
    this.counter = quota.currentCounter();
    this.units = units;
    this.demandLevel = demandLevel;
  }

  PendingRequest request() {
    return request;
  }

  SlidingWindowQuota quota() {
    return quota;
  }

  /** The counter of the window in which the request arrived. */
  WindowCounter counter() {
    return counter;
  }

  /** Whether the window in which the request arrived is still the quota's current one. */
  boolean isInCurrentWindow() {
    return counter == quota.currentCounter();
  }

  double units() {
    return units;
  }

  /** The customer's demand when the request arrived, see {@link DemandEstimator}. */
  int demandLevel() {
    return demandLevel;
  }

  /** Whether the counter answered for this request. */
  public boolean isTotalKnown() {
    return !Double.isNaN(totalBeforeUnits);
  }

  /** The counter's total before this request; NaN until it is known. */
  double totalBeforeUnits() {
    return totalBeforeUnits;
  }

  void setTotalBeforeUnits(double newTotalBeforeUnits) {
    totalBeforeUnits = newTotalBeforeUnits;
  }

  /** What was added to the counter for this request, or is pending. */
  double countedUnits() {
    return countedUnits;
  }

  void setCountedUnits(double newCountedUnits) {
    countedUnits = newCountedUnits;
  }
}
