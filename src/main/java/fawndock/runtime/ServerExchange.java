package fawndock.runtime;

import fawndock.policy.config.RequestClass;

/**
 * A client's side of one request, whatever protocol it came by. Its request gets exactly one final
 * answer: one that a server gave, passed on by the protocol's own attempt, or one of {@link
 * #refuse} and {@link #fail}; none when the client has left.
 */
public interface ServerExchange {
  /**
   * What was asked and by whom.
   *
   * @param arrivedAtMicros when it was read, in microseconds since 1970
   * @param deadlineAtMicros when the client stops waiting
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

  RequestAttributes requestAttributes();

  /** Turned away; trying again after so long is harmless. */
  void reject(long retryAfterMicros);

  /**
   * Failed, with no promise about the effect.
   *
   * @param answered whether the last attempt ended, rather than that time ran out
   */
  void fail(boolean answered, String reason);

  /** Ends the client's side at once after a streamed answer broke. */
  default void abort() {
    // Only where answers are streamed.
  }
}
