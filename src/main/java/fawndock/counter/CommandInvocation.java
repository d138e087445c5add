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
    byte[][] words,
    ReplyWriter reply,
    ClientConnection connection,
    CounterOperations operations,
    long nowMillis,
    ChangeRecord changes) {
  byte[] word(int place) {
    return words[place];
  }

  String text(int place) {
    return new String(words[place], StandardCharsets.UTF_8);
  }

  /** A word that is an option, in capitals. */
  String option(int place) {
    return text(place).toUpperCase(Locale.ROOT);
  }

  long integer(int place) throws CommandException {
    return DecimalAmount.parseLong(words[place]);
  }

  /** The name of a count. */
  byte[] requireName(int place) throws CommandException {
    if (words[place].length > ChangeRecord.MAX_NAME_BYTES) {
      throw new CommandException("ERR a name is at most " + ChangeRecord.MAX_NAME_BYTES + " bytes");
    }
    return words[place];
  }

  /** Ends a command whose words do not go together. */
  static CommandException syntaxError() {
    return new CommandException(CommandException.SYNTAX);
  }
}
