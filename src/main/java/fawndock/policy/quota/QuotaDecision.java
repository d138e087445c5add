package fawndock.policy.quota;

/**
 * What the quotas say of a request.
 *
 * @param status the verdict, or that it is not there yet
 * @param retryAfterMicros for a rejected request: the time until it may be admitted
 */
public record QuotaDecision(Status status, long retryAfterMicros) {
  /** Not decided yet, or decided before. */
  static final QuotaDecision UNDECIDED = new QuotaDecision(Status.UNDECIDED, 0);

  static final QuotaDecision ADMITTED = new QuotaDecision(Status.ADMITTED, 0);

  static QuotaDecision rejected(long retryAfterMicros) {
    return new QuotaDecision(Status.REJECTED, retryAfterMicros);
  }

  /** The kinds of verdict. */
  public enum Status {
    /** The counter has not answered yet, or the verdict was given before. */
    UNDECIDED,
    /** Within its quotas, or forwarded nevertheless. */
    ADMITTED,
    /** Over one of its quotas. */
    REJECTED
  }
}
