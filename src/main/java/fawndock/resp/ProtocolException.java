package fawndock.resp;

/**
 * Thrown when received bytes are not valid RESP or exceed a limit. The connection cannot be used
 * any further.
 */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception whose message is a complete error reply. It has no stack trace, because
   * the sender of the bytes caused the error.
   *
   * @param problem what was read and what is expected
   */
  public ProtocolException(String problem) {
    super("ERR Protocol error: " + problem, null, false, false);
  }
}
