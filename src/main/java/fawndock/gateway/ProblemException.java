package fawndock.gateway;

/** A request that the gateway answers itself, with {@link ProblemDetails}, and never counts. */
final class ProblemException extends RuntimeException {
  private static final long serialVersionUID = 1;
  private final transient ProblemDetails details;

  ProblemException(int status, String type, String title, String detail) {
    this(new ProblemDetails(status, type, title, detail));
  }

  /** Without a stack trace: it is an answer to a client, not a fault of the program. */
  ProblemException(ProblemDetails details) {
    super(details.detail(), null, false, false);
    this.details = details;
  }

  ProblemDetails details() {
    return details;
  }
}
