package fawndock.conformance;

/** Something that crossed a socket, or that a stand-in did; times are wall-clock microseconds. */
public sealed interface TraceEvent {
  /** When. */
  long atMicros();

  /** A client sent a request to a gatekeeper; it gives up at the time given. */
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
   * A client got an answer: an HTTP status. A second one for the same request is recorded as well.
   */
  record ResponseReceived(long atMicros, String requestId, int status) implements TraceEvent {}

  /** A client's connection broke before it had its whole answer. */
  record ConnectionLost(long atMicros, String requestId) implements TraceEvent {}

  /** A client left of its own will before it was answered. */
  record ClientDisconnected(long atMicros, String requestId) implements TraceEvent {}

  /**
   * A worker received an attempt; {@code incarnation} tells its restarts apart; refused ones never
   * run.
   */
  record AttemptArrived(
      long atMicros, String requestId, String endpointId, int incarnation, boolean isRejected)
      implements TraceEvent {}

  /**
   * A worker did the work of an attempt: its effect, by the key when it dropped a repeat already.
   */
  record EffectApplied(long atMicros, String requestId, String endpointId) implements TraceEvent {}

  /** The roster told a gatekeeper of a worker; {@code startedAtMicros} 0 is long ago. */
  record EndpointAnnounced(
      long atMicros, int gatewayIndex, String endpointId, String state, long startedAtMicros)
      implements TraceEvent {}

  /** A worker came up, cold when it says so, with room for so much work each second once warm. */
  record EndpointStarted(
      long atMicros,
      String endpointId,
      int incarnation,
      boolean isWarmingUp,
      double attemptsPerSecond)
      implements TraceEvent {}

  /** A gatekeeper's process was killed. */
  record GatewayKilled(long atMicros, int gatewayIndex) implements TraceEvent {}
}
