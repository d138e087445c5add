package fawndock.policy.event;

/** The result of an attempt, a health check or a counter call. */
public enum CallResult {
  /** The request was served, or the units were counted. */
  OK(true),
  /** The response is an error. */
  ERROR(true),
  /** The call was rejected because of overload, without being processed. */
  SHED(false),
  /** No response arrived in time, or none that can be parsed. */
  TIMEOUT(true),
  /** No connection could be opened. */
  CONNECT_FAILED(false),
  /** The connection was lost while the call was in flight. */
  RESET(true),
  /** This instance cancelled the call. */
  CANCELLED(true),
  /** The call was never sent. */
  NOT_SENT(false);

  /** Whether the call may have taken effect. */
  public final boolean mayHaveTakenEffect;

  CallResult(boolean mayHaveTakenEffect) {
    this.mayHaveTakenEffect = mayHaveTakenEffect;
  }
}
