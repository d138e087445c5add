package fawndock.policy;

import fawndock.policy.quota.QuotaAdmission;

/**
 * Ranks the admitted requests by what forwarding them earns in the mean for the time that they
 * take, so that scarce capacity does not go to requests that are over quota. Cheap plans may wait
 * while capacity is short for long.
 */
final class RequestPriority {
  /** Of a request's value: keeps the order among those that probably are over quota. */
  private static final double MIN_VALUE_RATIO = 0.01;

  private final QuotaAdmission quotas;

  RequestPriority(QuotaAdmission quotas) {
    this.quotas = quotas;
  }

  /** Sets the weight and rank of an admitted request. */
  void assign(PendingRequest request) {
    RequestClassState requestClass = request.requestClass();
    double weight = requestClass.recordUnits(request.request().units());
    double valueRatio = Math.max(MIN_VALUE_RATIO, 1 - quotas.expectedLossRatio(request));
    double value =
        requestClass.config().priorityWeight() * request.plan().priorityWeight() * valueRatio;
    request.setPriority(weight, value / requestClass.meanLatencyMicros());
  }
}
