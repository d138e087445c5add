package fawndock.counter;

import fawndock.counter.storage.ChangeRecord;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.DecimalAmount;
import fawndock.resp.ReplyWriter;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * One invocation of a command. The arguments are not copied, because a copy is expensive on the hot
 * path, and must not be modified. Confined to the event loop.
 *
 * @param arguments the command's name and its arguments
 * @param reply the writer for the command's reply
 * @param connection the connection that sent the command
 * @param operations the counters to read and change
 * @param nowMillis the current time in milliseconds since 1970
 * @param changes the record to which changes are added; null for a command that makes none
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; a copy would be costly.
record CommandInvocation(
    byte[][] arguments,
    ReplyWriter reply,
    ClientConnection connection,
    CounterOperations operations,
    long nowMillis,
    ChangeRecord changes) {
  byte[] argument(int index) {
    return arguments[index];
  }

  String argumentText(int index) {
    return new String(arguments[index], StandardCharsets.UTF_8);
  }

  /** Returns an option argument in capitals. */
  String optionArgument(int index) {
    return argumentText(index).toUpperCase(Locale.ROOT);
  }

  long integerArgument(int index) throws CommandException {
    return DecimalAmount.parseLong(arguments[index]);
  }

  /** Returns an argument that is the name of a counter, after a check of its length. */
  byte[] nameArgument(int index) throws CommandException {
    if (arguments[index].length > ChangeRecord.MAX_NAME_BYTES) {
      throw new CommandException("ERR a name is at most " + ChangeRecord.MAX_NAME_BYTES + " bytes");
    }
    return arguments[index];
  }

  /** Returns the exception for invalid or incompatible arguments. */
  static CommandException syntaxError() {
    return new CommandException(CommandException.SYNTAX);
  }
}
