package fawndock.policy.event;

/** How an attempt, a health check or a counter call ended. */
public enum CallResult {
  /** Served, or counted. */
  OK(true),
  /** Answered with an error. */
  ERROR(true),
  /** Rejected unread, for load. */
  SHED(false),
  /** No answer in time, or none that can be read. */
  TIMEOUT(true),
  /** No connection could be opened. */
  CONNECT_FAILED(false),
  /** The connection broke while it was in flight. */
  RESET(true),
  /** Cancelled by this instance. */
  CANCELLED(true),
  /** Never sent. */
  NOT_SENT(false);

  /** Whether the work may have been done. */
  public final boolean mayHaveTakenEffect;

  CallResult(boolean mayHaveTakenEffect) {
    this.mayHaveTakenEffect = mayHaveTakenEffect;
  }
}
