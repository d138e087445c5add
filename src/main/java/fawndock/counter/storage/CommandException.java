package fawndock.counter.storage;

/**
 * Thrown when a command is rejected; the message is the error reply to the client, worded as in the
 * public command documentation. The command has changed nothing. The exception has no stack trace
 * because it is an expected reply, not a fault.
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
