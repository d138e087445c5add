package fawndock.policy.event;

/** What a timer of the policy is for; whoever runs the policy hands it back unchanged when due. */
public sealed interface PolicyTimer {
  /** The request's final answer is due now, shortly before its client's deadline. */
  record AnswerDeadline(long requestId) implements PolicyTimer {}

  /** The request has waited for an endpoint as long as it may. */
  record QueueTimeout(long requestId) implements PolicyTimer {}

  /** An attempt of the request has been in flight for its class's latency objective. */
  record LatencyObjectiveExceeded(long requestId) implements PolicyTimer {}

  /** The request has waited for the counter as long as it may. */
  record CounterWaitTimeout(long requestId) implements PolicyTimer {}

  /** Adds that still wait for a call to this counter are to be sent now. */
  record FlushPendingAdds(String counterName) implements PolicyTimer {}

  /** Endpoint discovery failed a while ago and is to be watched again. */
  record RewatchEndpoints() implements PolicyTimer {}

  /** A timer that the policy did not set; it is ignored. */
  record UnknownTimer(String text) implements PolicyTimer {}
}
