package fawndock.runtime;

/** Is told of each final answer, for a log; costs nothing where there is none. */
public interface ResponseRecorder {
  /** Takes no notice. */
  ResponseRecorder NONE = (request, now, verdict, reason) -> {};

  /** How a request ended for its client. */
  enum RequestOutcome {
    SERVED,
    REJECTED,
    FAILED,
    DISCONNECTED
  }

  /** A request has had its final answer, or its client has left. */
  void onResponse(InFlightRequest request, long now, RequestOutcome verdict, String reason);
}
