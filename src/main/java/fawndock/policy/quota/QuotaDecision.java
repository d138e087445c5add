package fawndock.policy.quota;

/**
 * The result of checking a request against its quotas.
 *
 * @param status the decision, or that it is not made yet
 * @param retryAfterMicros time until a rejected request may be admitted, in microseconds
 */
public record QuotaDecision(Status status, long retryAfterMicros) {
  /** The request is not decided yet, or was decided before. */
  static final QuotaDecision UNDECIDED = new QuotaDecision(Status.UNDECIDED, 0);

  static final QuotaDecision ADMITTED = new QuotaDecision(Status.ADMITTED, 0);

  static QuotaDecision rejected(long retryAfterMicros) {
    return new QuotaDecision(Status.REJECTED, retryAfterMicros);
  }

  /** The kinds of decision. */
  public enum Status {
    /** The counter has not replied yet, or the decision was made before. */
    UNDECIDED,
    /** The request is within its quotas, or is forwarded nevertheless. */
    ADMITTED,
    /** The request is over one of its quotas. */
    REJECTED
  }
}
