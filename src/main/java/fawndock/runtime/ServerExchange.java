package fawndock.runtime;

import fawndock.policy.config.RequestClass;

/**
 * The client's side of one request, independent of the protocol. Unless it disconnects, the client
 * gets exactly one final response: an endpoint's response, which the protocol's {@link
 * InFlightAttempt} passes on, or that of {@link #reject} or {@link #fail}.
 */
public interface ServerExchange {
  /**
   * What a client requests and for which customer.
   *
   * @param plan name of the customer's plan
   * @param arrivedAtMicros when the request was read, in microseconds since 1970
   * @param deadlineAtMicros when the client stops waiting, in microseconds since 1970
   * @param units the request's cost as the client states it
   * @param customerInstanceCount number of gateway instances that the customer's requests are
   *     spread over
   * @param customerFirstInstance index of the first of these instances
   * @param label the client's name for the request, for the log
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

  /** Returns what the client requests and for which customer. */
  RequestAttributes requestAttributes();

  /** Rejects the request; the client may retry after this time in microseconds. */
  void reject(long retryAfterMicros);

  /**
   * Fails the request; an endpoint may or may not have processed it.
   *
   * @param hasLastAttemptFailed whether the last attempt failed; false when the deadline was
   *     exceeded instead
   */
  void fail(boolean hasLastAttemptFailed, String reason);

  /** Closes the client's side immediately, because a streamed response is incomplete. */
  default void abort() {
    // Protocols without streaming have nothing to close.
  }
}
