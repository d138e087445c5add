package fawndock.resp;

/** Bytes that are not RESP, or exceed a limit; the connection cannot be used any further. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception whose message is a complete error reply. Without a stack trace: the other
   * side is at fault.
   *
   * @param problem what was read and what is expected
   */
  public ProtocolException(String problem) {
    super("ERR Protocol error: " + problem, null, false, false);
  }
}
