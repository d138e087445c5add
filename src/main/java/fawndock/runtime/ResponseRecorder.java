package fawndock.runtime;

/** Records the final response of each request, for logs and metrics. */
public interface ResponseRecorder {
  /** Records nothing. */
  ResponseRecorder NONE = (request, nowMicros, outcome, reason) -> {};

  /** How a request ended for its client. */
  enum RequestOutcome {
    /** The client received an endpoint's response. */
    SERVED,
    /** The request was rejected before an endpoint processed it. */
    REJECTED,
    /** The request failed; an endpoint may have processed it. */
    FAILED,
    /** The client disconnected before its response was complete. */
    DISCONNECTED
  }

  /**
   * Records that a request has received its final response or that its client has disconnected.
   *
   * @param nowMicros the time on the runner's clock
   * @param reason the serving endpoint's id, or why there was no response
   */
  void onResponse(InFlightRequest request, long nowMicros, RequestOutcome outcome, String reason);
}
