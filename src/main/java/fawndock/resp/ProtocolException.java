package fawndock.resp;

/** What comes is not the protocol, or beyond the limits; the connection cannot go on. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  /** With what is told of it. */
  public ProtocolException(String told) {
    super("ERR Protocol error: " + told, null, false, false);
  }
}
