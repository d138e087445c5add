package fawndock.policy.retry;

/** Limits retries to a ratio of all attempts, with a burst (token bucket). Not thread-safe. */
final class RetryBudget {
  private static final double RETRIES_PER_ATTEMPT_RATIO = 0.1;
  private static final double BURST_RETRIES = 10;

  private double tokens = BURST_RETRIES;

  void onAttemptStarted() {
    tokens = Math.min(BURST_RETRIES, tokens + RETRIES_PER_ATTEMPT_RATIO);
  }

  boolean tryTake() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
