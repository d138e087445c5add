package fawndock.counter.storage;

/**
 * A command that cannot be done; the message is the error that the client gets, in the words of the
 * public command documentation. Nothing has been changed when it is thrown. It has no stack trace:
 * it is an answer, not a fault.
 */
public final class CommandException extends Exception {
  private static final long serialVersionUID = 1L;
  public static final String NOT_INTEGER = "ERR value is not an integer or out of range";
  public static final String NOT_FLOAT = "ERR value is not a valid float";
  public static final String OVERFLOW = "ERR increment or decrement would overflow";
  public static final String OUT_OF_MEMORY =
      "OOM command not allowed when used memory > 'maxmemory'.";
  public static final String SYNTAX = "ERR syntax error";

  public CommandException(String message) {
    super(message, null, false, false);
  }
}
