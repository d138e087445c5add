package fawndock.counter;

import fawndock.counter.storage.ChangeRecord;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.DecimalAmount;
import fawndock.resp.ReplyWriter;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * One run of a command. The words are not copied, for their cost on the hot path; nobody changes
 * them.
 *
 * @param words the command's name and arguments
 * @param reply where its answer goes
 * @param connection whose it is
 * @param operations what it is done to
 * @param nowMillis milliseconds since 1970
 * @param changes where changes are noted; null for a command that makes none
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; a copy a command would cost.
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

  /** A word that is an option, in capitals. */
  String optionArgument(int index) {
    return argumentText(index).toUpperCase(Locale.ROOT);
  }

  long integerArgument(int index) throws CommandException {
    return DecimalAmount.parseLong(arguments[index]);
  }

  /** The name of a count. */
  byte[] nameArgument(int index) throws CommandException {
    if (arguments[index].length > ChangeRecord.MAX_NAME_BYTES) {
      throw new CommandException("ERR a name is at most " + ChangeRecord.MAX_NAME_BYTES + " bytes");
    }
    return arguments[index];
  }

  /** Ends a command whose words do not go together. */
  static CommandException syntaxError() {
    return new CommandException(CommandException.SYNTAX);
  }
}
