package fawndock.platformconfig;

/**
 * Thrown when a message or settings object does not have the expected format. The exception's
 * message names the wrong key or value.
 */
public final class MalformedMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message says what was read and what is expected. */
  public MalformedMessageException(String message) {
    super(message);
  }
}
