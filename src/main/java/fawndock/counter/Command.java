package fawndock.counter;

import fawndock.counter.storage.CommandException;

/**
 * One command, as clients ask for its description.
 *
 * @param name in capitals
 * @param arity words with the name itself; below 0 for at least so many
 * @param writes whether it may change counts
 * @param first place of the first name of a count among the words, 0 for none
 * @param last place of the last, -1 for the last word
 * @param changes for each word that may be noted, from 1
 * @param action what it does
 */
record Command(
    String name, int arity, boolean writes, int first, int last, int changes, Action action) {
  Command(String name, int arity, boolean writes, int first, int last, Action action) {
    this(name, arity, writes, first, last, 1, action);
  }

  /** Writes exactly one answer, or throws and has changed and answered nothing. */
  @FunctionalInterface
  interface Action {
    void run(Call call) throws CommandException;
  }

  boolean takes(int words) {
    return arity < 0 ? words >= -arity : words == arity;
  }
}
