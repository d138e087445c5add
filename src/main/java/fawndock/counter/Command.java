package fawndock.counter;

import fawndock.counter.storage.CommandException;

/**
 * Describes a command: its handler, and the properties that {@code COMMAND} reports. Immutable.
 *
 * @param name the command's name in capitals
 * @param arity the number of arguments, the command's name included; a negative number is a minimum
 * @param isWrite whether the command may change counters
 * @param firstNameIndex the index of the first counter name among the arguments, 0 if there is none
 * @param lastNameIndex the index of the last counter name, -1 for the last argument
 * @param changesPerArgument the maximum number of changes recorded per argument, at least 1
 * @param action the handler; null for the commands that control transactions
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

  /**
   * Runs a command. It either writes exactly one reply, or throws without having changed or written
   * anything.
   */
  @FunctionalInterface
  interface Action {
    void run(CommandInvocation call) throws CommandException;
  }

  boolean acceptsArgumentCount(int argumentCount) {
    return arity < 0 ? argumentCount >= -arity : argumentCount == arity;
  }
}
