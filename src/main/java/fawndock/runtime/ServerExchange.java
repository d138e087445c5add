package fawndock.runtime;

import fawndock.policy.config.RequestClass;

/**
 * The client's side of one request, independent of the protocol. The client gets exactly one final
 * response: an endpoint's, passed on by the protocol's own attempt, or one of {@link #reject} and
 * {@link #fail}; none when it has disconnected.
 */
public interface ServerExchange {
  /**
   * What was requested and by whom.
   *
   * @param plan the customer's plan
   * @param arrivedAtMicros when the request was read, in microseconds since 1970
   * @param deadlineAtMicros when the client stops waiting, in microseconds since 1970
   * @param units the request's cost by the client's own account
   * @param customerInstanceCount how many gateway instances the customer's requests are spread over
   * @param customerFirstInstance index of the first of these instances
   * @param label the client's own name for the request, for the log
   */
  record RequestAttributes(
      RequestClass requestClass,
      String plan,
      String customer,
      long arrivedAtMicros,
      long deadlineAtMicros,
      double units,
      int customerInstanceCount,
      int customerFirstInstance,
      boolean isRetry,
      String label) {}

  /** Returns what was requested and by whom. */
  RequestAttributes requestAttributes();

  /** Rejects the request; the client may retry after this time in microseconds. */
  void reject(long retryAfterMicros);

  /**
   * Fails the request, with no promise whether an endpoint ran it.
   *
   * @param hasLastAttemptFailed whether the last attempt failed, rather than that time ran out
   */
  void fail(boolean hasLastAttemptFailed, String reason);

  /** Closes the client's side at once after a streamed response broke. */
  default void abort() {
    // Only protocols that stream have something to close.
  }
}
