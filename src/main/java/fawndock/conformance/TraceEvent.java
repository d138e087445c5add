package fawndock.conformance;

/**
 * Something that crossed a socket or that a fake did. Times are microseconds of one clock: the wall
 * clock in scenarios, simulated time in simulations.
 */
public sealed interface TraceEvent {
  /** When it happened. */
  long atMicros();

  /**
   * The operation that a request belongs to: its id {@code OPERATION.TRY} without the number of the
   * try. A client that retries keeps the operation, so that an effect of two tries is one effect
   * twice.
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

  /** A client received a final response: its HTTP status. A second one is recorded as well. */
  record ResponseReceived(long atMicros, String requestId, int status) implements TraceEvent {}

  /** A client's connection broke before it had its whole response. */
  record ConnectionLost(long atMicros, String requestId) implements TraceEvent {}

  /** A client disconnected by its own decision before it had its response. */
  record ClientDisconnected(long atMicros, String requestId) implements TraceEvent {}

  /**
   * An endpoint received an attempt.
   *
   * @param incarnation tells the endpoint's restarts apart
   * @param isRejected whether the endpoint rejected it, so that it never ran
   */
  record AttemptArrived(
      long atMicros, String requestId, String endpointId, int incarnation, boolean isRejected)
      implements TraceEvent {}

  /** An attempt took effect at an endpoint; one that was dropped as a duplicate did not. */
  record EffectApplied(long atMicros, String requestId, String endpointId) implements TraceEvent {}

  /**
   * A gateway was notified of an endpoint.
   *
   * @param state as discovery names it, in small letters
   * @param startedAtMicros 0 when it started long ago
   */
  record EndpointAnnounced(
      long atMicros, int gatewayIndex, String endpointId, String state, long startedAtMicros)
      implements TraceEvent {
    /** Whether the endpoint may get new requests. */
    public boolean isRunning() {
      return state.equals("running");
    }
  }

  /**
   * An endpoint started.
   *
   * @param attemptsPerSecond what it can do once it has warmed up
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
