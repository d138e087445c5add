package fawndock.counter;

import fawndock.counter.storage.CommandException;

/**
 * A command, with what {@code COMMAND} shows of it.
 *
 * @param name in capitals
 * @param arity words with the name itself; below 0 for at least so many
 * @param isWrite whether it may change counts
 * @param firstName place of the first name of a count among the words, 0 for none
 * @param lastName place of the last, -1 for the last word
 * @param changesPerWord for each word that may be noted, from 1
 * @param action what it does
 */
record Command(
    String name,
    int arity,
    boolean isWrite,
    int firstNameIndex,
    int lastNameIndex,
    int changesPerArgument,
    Action action) {
  Command(
      String name,
      int arity,
      boolean isWrite,
      int firstNameIndex,
      int lastNameIndex,
      Action action) {
    this(name, arity, isWrite, firstNameIndex, lastNameIndex, 1, action);
  }

  /** Writes exactly one answer, or throws and has changed and answered nothing. */
  @FunctionalInterface
  interface Action {
    void run(CommandInvocation call) throws CommandException;
  }

  boolean acceptsArgumentCount(int arguments) {
    return arity < 0 ? arguments >= -arity : arguments == arity;
  }
}
