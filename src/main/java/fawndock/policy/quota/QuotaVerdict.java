package fawndock.policy.quota;

/**
 * What the quotas say of a request.
 *
 * @param status the verdict, or that it is not there yet
 * @param retryAfterMicros for a rejected request: the time until it may be admitted
 */
public record QuotaVerdict(Status status, long retryAfterMicros) {
  /** Not decided yet, or decided before. */
  static final QuotaVerdict UNDECIDED = new QuotaVerdict(Status.UNDECIDED, 0);

  static final QuotaVerdict ADMITTED = new QuotaVerdict(Status.ADMITTED, 0);

  static QuotaVerdict rejected(long retryAfterMicros) {
    return new QuotaVerdict(Status.REJECTED, retryAfterMicros);
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
