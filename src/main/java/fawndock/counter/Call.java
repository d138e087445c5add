package fawndock.counter;

import fawndock.counter.storage.ChangeRecord;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.DecimalAmount;
import fawndock.resp.ReplyWriter;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A command being done.
 *
 * @param words the command's name and arguments
 * @param reply where its answer goes
 * @param session whose it is
 * @param counts what it is done to
 * @param now milliseconds since 1970
 * @param changes where changes are noted; null for a command that makes none
 */
record Call(
    byte[][] words,
    ReplyWriter reply,
    Session session,
    CounterOperations counts,
    long now,
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

  long whole(int place) throws CommandException {
    return DecimalAmount.whole(words[place]);
  }

  /** The name of a count. */
  byte[] name(int place) throws CommandException {
    if (words[place].length > ChangeRecord.LONGEST_NAME) {
      throw new CommandException("ERR a name is at most " + ChangeRecord.LONGEST_NAME + " bytes");
    }
    return words[place];
  }

  /** Ends a command whose words do not go together. */
  static CommandException syntax() {
    return new CommandException(CommandException.SYNTAX);
  }
}
