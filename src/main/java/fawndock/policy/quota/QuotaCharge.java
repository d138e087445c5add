package fawndock.policy.quota;

import fawndock.policy.PendingRequest;

/** The units that one request is charged to one quota, and the counter's total before it. */
public final class QuotaCharge {
  private final PendingRequest request;
  private final SlidingWindowQuota quota;
  private final WindowCounter counter;
  private final double units;
  private final int demandLevel;
  private double totalBeforeUnits = Double.NaN;
  private double countedUnits;
  private boolean hasEnded;

  QuotaCharge(PendingRequest request, SlidingWindowQuota quota, double units, int demandLevel) {
    this.request = request;
    this.quota = quota;
    this.counter = quota.currentCounter();
    this.units = units;
    this.demandLevel = demandLevel;
    quota.onChargeStarted();
  }

  /** Ends the charge together with its request. Idempotent. */
  void end() {
    if (!hasEnded) {
      hasEnded = true;
      quota.onChargeEnded();
    }
  }

  PendingRequest request() {
    return request;
  }

  SlidingWindowQuota quota() {
    return quota;
  }

  /** Returns the counter of the window in which the request arrived. */
  WindowCounter counter() {
    return counter;
  }

  /** Returns whether the window in which the request arrived is still the quota's current one. */
  boolean isInCurrentWindow() {
    return counter == quota.currentCounter();
  }

  double units() {
    return units;
  }

  /** Returns the customer's demand level when the request arrived, see {@link DemandEstimator}. */
  int demandLevel() {
    return demandLevel;
  }

  /** Returns whether the counter replied with a total for this request. */
  public boolean isTotalKnown() {
    return !Double.isNaN(totalBeforeUnits);
  }

  /** Returns the counter's total before this request; NaN until it is known. */
  double totalBeforeUnits() {
    return totalBeforeUnits;
  }

  void setTotalBeforeUnits(double newTotalBeforeUnits) {
    totalBeforeUnits = newTotalBeforeUnits;
  }

  /** Returns the units that were added to the counter for this request, or are pending. */
  double countedUnits() {
    return countedUnits;
  }

  void setCountedUnits(double newCountedUnits) {
    countedUnits = newCountedUnits;
  }
}
