package fawndock.policy;

import fawndock.policy.quota.QuotaAdmission;

/**
 * Ranks admitted requests by the mean value of forwarding them per unit of the time that they take,
 * so that scarce capacity is not spent on requests that are over quota. Requests of plans with a
 * low priority weight may starve while capacity stays scarce. Not thread-safe.
 */
final class RequestPriority {
  /**
   * Minimum value, as a ratio of the full value of a request. It preserves the order among requests
   * that are probably over quota.
   */
  private static final double MIN_VALUE_RATIO = 0.01;

  private final QuotaAdmission quotas;

  RequestPriority(QuotaAdmission quotas) {
    this.quotas = quotas;
  }

  /** Sets the weight and the rank of an admitted request. */
  void assign(PendingRequest request) {
    RequestClassState requestClass = request.requestClass();
    double weight = requestClass.recordUnits(request.request().units());
    double valueRatio = Math.max(MIN_VALUE_RATIO, 1 - quotas.expectedLossRatio(request));
    double value =
        requestClass.config().priorityWeight() * request.plan().priorityWeight() * valueRatio;
    request.setPriority(weight, value / requestClass.meanLatencyMicros());
  }
}
