package fawndock.gateway;

/**
 * Thrown for an invalid request, which the gateway answers with {@link ProblemDetails}; such a
 * request does not reach the policy and uses no quota.
 */
final class ProblemException extends RuntimeException {
  private static final long serialVersionUID = 1;
  private final transient ProblemDetails details;

  ProblemException(int status, String type, String title, String detail) {
    this(new ProblemDetails(status, type, title, detail));
  }

  /**
   * Creates an exception without a stack trace, since it stands for a response to a client and not
   * for an error in the program.
   */
  ProblemException(ProblemDetails details) {
    super(details.detail(), null, false, false);
    this.details = details;
  }

  ProblemDetails details() {
    return details;
  }
}
