package fawndock.counter;

import fawndock.counter.storage.CommandException;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Holds all commands by name, in the order in which {@code COMMAND} lists them. Confined to the
 * event loop after startup.
 */
final class CommandTable {
  /**
   * The maximum number of bytes of an unknown command's name, and of its arguments, in the error.
   */
  private static final int MAX_SHOWN_BYTES = 128;

  private final Map<String, Command> commands = new LinkedHashMap<>();

  void addAll(List<Command> added) {
    added.forEach(command -> commands.put(command.name(), command));
  }

  Collection<Command> all() {
    return commands.values();
  }

  /** Returns the command with this name, which must be in capitals, or null if there is none. */
  Command get(String name) {
    return commands.get(name);
  }

  /**
   * Returns the command that the arguments invoke; its name is the first of them.
   *
   * @throws CommandException if there is no command of that name, or the number of arguments is
   *     wrong
   */
  Command find(byte[][] arguments) throws CommandException {
    String name =
        new String(
            arguments[0],
            0,
            Math.min(arguments[0].length, MAX_SHOWN_BYTES),
            StandardCharsets.UTF_8);
    Command command = commands.get(name);
    if (command == null) {
      command = commands.get(name.toUpperCase(Locale.ROOT));
    }
    if (command == null) {
      throw unknownCommand(name, arguments);
    }
    if (!command.acceptsArgumentCount(arguments.length)) {
      throw ConnectionCommands.wrongArity(command.name());
    }
    return command;
  }

  private static CommandException unknownCommand(String name, byte[][] arguments) {
    StringBuilder shownArguments = new StringBuilder();
    for (int i = 1; i < arguments.length && shownArguments.length() < MAX_SHOWN_BYTES; i++) {
      int length = Math.min(arguments[i].length, MAX_SHOWN_BYTES - shownArguments.length());
      shownArguments
          .append('\'')
          .append(new String(arguments[i], 0, length, StandardCharsets.UTF_8))
          .append("' ");
    }
    return new CommandException(
        "ERR unknown command '" + name + "', with args beginning with: " + shownArguments);
  }
}
