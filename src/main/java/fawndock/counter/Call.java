package fawndock.counter;

import fawndock.counter.core.Amount;
import fawndock.counter.core.Changes;
import fawndock.counter.core.CountException;
import fawndock.counter.core.Counts;
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
    byte[][] words, ReplyWriter reply, Session session, Counts counts, long now, Changes changes) {
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

  long whole(int place) throws CountException {
    return Amount.whole(words[place]);
  }

  /** The name of a count. */
  byte[] name(int place) throws CountException {
    if (words[place].length > Changes.LONGEST_NAME) {
      throw new CountException("ERR a name is at most " + Changes.LONGEST_NAME + " bytes");
    }
    return words[place];
  }

  /** Ends a command whose words do not go together. */
  static CountException syntax() {
    return new CountException(CountException.SYNTAX);
  }
}
