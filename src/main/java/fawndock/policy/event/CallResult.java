package fawndock.policy.event;

/** How an attempt, a probe or a counter call ended. */
public enum CallResult {
  /** Served, or counted. */
  OK(true),
  /** The server answered with an error. */
  ERROR(true),
  /** Turned away unseen. */
  SHED(false),
  /** No answer in time. */
  TIMEOUT(true),
  /** No connection could be had. */
  CONNECT_FAILED(false),
  /** The connection broke while the attempt was out. */
  RESET(true),
  /** Called off by the gatekeeper. */
  CANCELLED(true),
  /** Never sent. */
  NOT_SENT(false);

  /** Whether the work may have taken place. */
  public final boolean mayHaveTakenEffect;

  CallResult(boolean mayHaveRun) {
    this.mayHaveTakenEffect = mayHaveRun;
  }
}
