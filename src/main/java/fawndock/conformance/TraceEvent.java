package fawndock.conformance;

/** Something that crossed a socket, or that a stand-in did; times are wall-clock microseconds. */
public sealed interface TraceEvent {
  /** When. */
  long at();

  /** A client sent a request to a gatekeeper; it gives up at the time given. */
  record Asked(
      long at,
      String request,
      int gatekeeper,
      String type,
      String customer,
      double units,
      long giveUpAt)
      implements TraceEvent {}

  /**
   * A client got an answer: an HTTP status. A second one for the same request is recorded as well.
   */
  record Answered(long at, String request, int status) implements TraceEvent {}

  /** A client's connection broke before it had its whole answer. */
  record Broke(long at, String request) implements TraceEvent {}

  /** A client left of its own will before it was answered. */
  record Left(long at, String request) implements TraceEvent {}

  /**
   * A worker received an attempt; {@code life} tells its restarts apart; refused ones never run.
   */
  record Arrived(long at, String request, String worker, int life, boolean refused)
      implements TraceEvent {}

  /**
   * A worker did the work of an attempt: its effect, by the key when it dropped a repeat already.
   */
  record Ran(long at, String request, String worker) implements TraceEvent {}

  /** The roster told a gatekeeper of a worker; {@code startedAt} 0 is long ago. */
  record Told(long at, int gatekeeper, String worker, String state, long startedAt)
      implements TraceEvent {}

  /** A worker came up, cold when it says so, with room for so much work each second once warm. */
  record Came(long at, String worker, int life, boolean cold, double perSecond)
      implements TraceEvent {}

  /** A gatekeeper's process was killed. */
  record Killed(long at, int gatekeeper) implements TraceEvent {}
}
