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

  void addAll(List<Command> more) {
    more.forEach(command -> commands.put(command.name(), command));
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
  Command find(byte[][] words) throws CommandException {
    String name =
        new String(words[0], 0, Math.min(words[0].length, MAX_SHOWN_BYTES), StandardCharsets.UTF_8);
    Command command = commands.get(name);
    if (command == null) {
      command = commands.get(name.toUpperCase(Locale.ROOT));
    }
    if (command == null) {
      throw unknown(name, words);
    }
    if (!command.acceptsWordCount(words.length)) {
      throw ConnectionCommands.wrongArity(command.name());
    }
    return command;
  }

  private static CommandException unknown(String name, byte[][] words) {
    StringBuilder shown = new StringBuilder();
    for (int i = 1; i < words.length && shown.length() < MAX_SHOWN_BYTES; i++) {
      int length = Math.min(words[i].length, MAX_SHOWN_BYTES - shown.length());
      shown
          .append('\'')
          .append(new String(words[i], 0, length, StandardCharsets.UTF_8))
          .append("' ");
    }
    return new CommandException(
        "ERR unknown command '" + name + "', with args beginning with: " + shown);
  }
}
