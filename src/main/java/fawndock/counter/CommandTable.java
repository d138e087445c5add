package fawndock.counter;

import fawndock.counter.storage.CommandException;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** All commands by name, in the order in which {@code COMMAND} lists them. */
final class CommandTable {
  /** Bytes of an unknown command's name and arguments that its error shows. */
  private static final int MAX_SHOWN_BYTES = 128;

  private final Map<String, Command> commands = new LinkedHashMap<>();

  void addAll(List<Command> added) {
    added.forEach(command -> commands.put(command.name(), command));
  }

  Collection<Command> all() {
    return commands.values();
  }

  /** The command with this name in capitals, or null. */
  Command get(String name) {
    return commands.get(name);
  }

  /**
   * The command that the words call.
   *
   * @throws CommandException when there is none of that name, or it takes another number of words
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
