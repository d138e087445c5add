package fawndock.conformance;

/**
 * An event of a trace: a message that crossed a socket or an action of a fake. All times are in
 * microseconds of one clock: the wall clock in scenarios, simulated time in simulations. Immutable.
 */
public sealed interface TraceEvent {
  /** Returns the time of the event. */
  long atMicros();

  /**
   * Returns the operation of a request, whose id has the form {@code OPERATION.TRY}: the id without
   * the number of the client's try. A client's retry keeps the operation, so that effects of two
   * tries count as a repeated effect.
   */
  static String operationOf(String requestId) {
    int dot = requestId.lastIndexOf('.');
    return dot < 0 ? requestId : requestId.substring(0, dot);
  }

  /** A client sent a request to a gateway. */
  record RequestSent(
      long atMicros,
      String requestId,
      int gatewayIndex,
      String requestClass,
      String customer,
      double units,
      long deadlineAtMicros)
      implements TraceEvent {}

  /**
   * A client received a final response with an HTTP status. Further responses are also recorded.
   */
  record ResponseReceived(long atMicros, String requestId, int status) implements TraceEvent {}

  /** A client's connection was closed before the client had received the whole response. */
  record ConnectionLost(long atMicros, String requestId) implements TraceEvent {}

  /** A client closed its connection before it received a response. */
  record ClientDisconnected(long atMicros, String requestId) implements TraceEvent {}

  /**
   * An endpoint received an attempt.
   *
   * @param incarnation number that changes with each start of the endpoint
   * @param isRejected whether the endpoint rejected the attempt without executing it
   */
  record AttemptArrived(
      long atMicros, String requestId, String endpointId, int incarnation, boolean isRejected)
      implements TraceEvent {}

  /** An attempt took effect at an endpoint. Dropped duplicates are not recorded. */
  record EffectApplied(long atMicros, String requestId, String endpointId) implements TraceEvent {}

  /**
   * A gateway was notified of an endpoint's state.
   *
   * @param state name of the state in the discovery protocol, in lower case
   * @param startedAtMicros start time of the endpoint; 0 when it started long ago
   */
  record EndpointAnnounced(
      long atMicros, int gatewayIndex, String endpointId, String state, long startedAtMicros)
      implements TraceEvent {
    /** Returns whether the endpoint may receive new requests. */
    public boolean isRunning() {
      return state.equals("running");
    }
  }

  /**
   * An endpoint started.
   *
   * @param attemptsPerSecond capacity of the endpoint after warm-up
   */
  record EndpointStarted(
      long atMicros,
      String endpointId,
      int incarnation,
      boolean isWarmingUp,
      double attemptsPerSecond)
      implements TraceEvent {}

  /** A gateway's process was killed. */
  record GatewayKilled(long atMicros, int gatewayIndex) implements TraceEvent {}
}
