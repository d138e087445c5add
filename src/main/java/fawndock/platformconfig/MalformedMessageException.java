package fawndock.platformconfig;

/** A message or settings object that is not as its format has it; the message names the key. */
public final class MalformedMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception that says what was read and what is expected. */
  public MalformedMessageException(String message) {
    super(message);
  }
}
