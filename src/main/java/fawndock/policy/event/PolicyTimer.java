package fawndock.policy.event;

/**
 * Defines the purpose of a timer that the policy schedules. The runner of the policy returns it
 * unchanged when it is due.
 */
public sealed interface PolicyTimer {
  /** A timer that has no effect once its request has ended and has no attempt in flight. */
  sealed interface RequestTimer extends PolicyTimer {
    /** Returns the id of the request. */
    long requestId();
  }

  /** The final response of the request is due now, shortly before its client's deadline. */
  record AnswerDeadline(long requestId) implements RequestTimer {}

  /** The request has waited for an endpoint for the maximum time. */
  record QueueTimeout(long requestId) implements RequestTimer {}

  /** An attempt of the request has been in flight for the latency objective of its class. */
  record LatencyObjectiveExceeded(long requestId) implements RequestTimer {}

  /** The request has waited for the counter for the maximum time. */
  record CounterWaitTimeout(long requestId) implements RequestTimer {}

  /** Additions that are still pending for this counter are due to be sent. */
  record FlushPendingAdds(String counterName) implements PolicyTimer {}

  /** Endpoint discovery failed earlier and is due to be watched again. */
  record RewatchEndpoints() implements PolicyTimer {}

  /** A timer that the policy did not schedule; it is ignored. */
  record UnknownTimer(String text) implements PolicyTimer {}
}
