package fawndock.policy.retry;

import fawndock.policy.Attempt;
import fawndock.policy.PendingRequest;
import fawndock.policy.config.GatewayLimits;

/**
 * Decides whether a request whose attempts have all failed is sent again: the retry must be safe,
 * in time and within the budget. Retries of shed attempts use the budget too, so that they do not
 * add to an overload. Not thread-safe.
 */
public final class RetryPolicy {
  private final GatewayLimits limits;
  private final IdempotencyRules idempotency;
  private final RetryBudget budget = new RetryBudget();

  /** Creates a policy with a full retry budget. */
  public RetryPolicy(GatewayLimits limits, IdempotencyRules idempotency) {
    this.limits = limits;
    this.idempotency = idempotency;
  }

  /** Updates the budget for an attempt that was sent, whether the first of a request or a retry. */
  public void onAttemptStarted() {
    budget.onAttemptStarted();
  }

  /** Returns whether to send the request again, and takes the retry from the budget if so. */
  public boolean tryRetry(PendingRequest request, long nowMicros) {
    boolean isWithinLimits =
        request.attempts().size() < limits.maxAttempts()
            && nowMicros <= request.queueTimeoutAtMicros();
    return isWithinLimits && isSafeToRetry(request, nowMicros) && budget.tryTake();
  }

  private boolean isSafeToRetry(PendingRequest request, long nowMicros) {
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
