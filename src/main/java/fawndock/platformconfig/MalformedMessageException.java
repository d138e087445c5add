package fawndock.platformconfig;

/** What came in is not what the wire allows; the message says what is wrong. */
public final class MalformedMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What is wrong, for a person. */
  public MalformedMessageException(String message) {
    super(message);
  }
}
