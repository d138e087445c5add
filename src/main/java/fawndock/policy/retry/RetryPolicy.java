package fawndock.policy.retry;

import fawndock.policy.Attempt;
import fawndock.policy.PendingRequest;
import fawndock.policy.config.GatewayLimits;

/**
 * Whether a request whose attempts have all failed is sent again: where that is harmless, in time
 * and within the budget. Shed attempts draw on the budget too, so that retries do not add to an
 * overload.
 */
public final class RetryPolicy {
  private final GatewayLimits limits;
  private final IdempotencyRules idempotency;
  private final RetryBudget budget = new RetryBudget();

  /** A policy with a full budget. */
  public RetryPolicy(GatewayLimits limits, IdempotencyRules idempotency) {
    this.limits = limits;
    this.idempotency = idempotency;
  }

  /** Takes in that an attempt was sent, the first of a request or a retry. */
  public void onAttemptStarted() {
    budget.onAttemptStarted();
  }

  /** Whether to send the request again; takes the retry from the budget. */
  public boolean tryRetry(PendingRequest request, long nowMicros) {
    boolean isUseful =
        request.attempts().size() < limits.maxAttempts()
            && nowMicros <= request.queueTimeoutAtMicros();
    return isUseful && isHarmless(request, nowMicros) && budget.tryTake();
  }

  private boolean isHarmless(PendingRequest request, long nowMicros) {
    return !mayHaveTakenEffect(request) || idempotency.allowsRetry(request, nowMicros);
  }

  static boolean mayHaveTakenEffect(PendingRequest request) {
    for (Attempt attempt : request.attempts()) {
      if (attempt.mayHaveTakenEffect()) {
        return true;
      }
    }
    return false;
  }
}
