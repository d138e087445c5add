package fawndock.counter;

import fawndock.counter.storage.CommandException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collection;
import java.util.List;
import java.util.Locale;

/**
 * Implements the commands on the connection and on the server itself. Confined to the event loop.
 */
final class ConnectionCommands {
  private final CommandTable commands;
  private final ServerInfo info;
  private final byte[] password;

  /**
   * @param password the password with which connections must authenticate; empty for none
   */
  ConnectionCommands(CommandTable commands, ServerInfo info, String password) {
    this.commands = commands;
    this.info = info;
    this.password = password.getBytes(StandardCharsets.UTF_8);
  }

  List<Command> all() {
    return List.of(
        new Command("PING", -1, false, 0, 0, ConnectionCommands::ping),
        new Command("ECHO", 2, false, 0, 0, call -> call.reply().bulkString(call.argument(1))),
        new Command("HELLO", -1, false, 0, 0, this::hello),
        new Command("AUTH", -2, false, 0, 0, this::auth),
        new Command("SELECT", 2, false, 0, 0, ConnectionCommands::select),
        new Command(
            "QUIT",
            -1,
            false,
            0,
            0,
            call -> {
              call.reply().ok();
              call.connection().closeAfterReplies();
            }),
        new Command("CLIENT", -2, false, 0, 0, ConnectionCommands::client),
        new Command("COMMAND", -1, false, 0, 0, this::command),
        new Command("INFO", -1, false, 0, 0, call -> call.reply().bulkString(info.text())));
  }

  /** Returns whether an unauthenticated connection may run the command. */
  static boolean isAllowedUnauthenticated(Command command) {
    return List.of("AUTH", "HELLO", "QUIT").contains(command.name());
  }

  boolean isPasswordless() {
    return password.length == 0;
  }

  private static void ping(CommandInvocation call) throws CommandException {
    if (call.arguments().length > 2) {
      throw wrongArity("ping");
    }
    if (call.arguments().length == 2) {
      call.reply().bulkString(call.argument(1));
    } else {
      call.reply().simpleString("PONG");
    }
  }

  static CommandException wrongArity(String command) {
    return new CommandException(
        "ERR wrong number of arguments for '" + command.toLowerCase(Locale.ROOT) + "' command");
  }

  private void authenticate(CommandInvocation call, int userIndex, int passwordIndex)
      throws CommandException {
    boolean isPasswordCorrect = MessageDigest.isEqual(password, call.argument(passwordIndex));
    if (!isPasswordCorrect || (userIndex > 0 && !call.argumentText(userIndex).equals("default"))) {
      throw new CommandException("WRONGPASS invalid username-password pair or user is disabled.");
    }
    call.connection().isAuthenticated = true;
  }

  private void auth(CommandInvocation call) throws CommandException {
    if (call.arguments().length > 3) {
      throw CommandInvocation.syntaxError();
    }
    if (isPasswordless()) {
      throw new CommandException(
          "ERR AUTH <password> called without any password configured for the default "
              + "user. Are you sure your configuration is correct?");
    }
    authenticate(call, call.arguments().length - 2, call.arguments().length - 1);
    call.reply().ok();
  }

  private void hello(CommandInvocation call) throws CommandException {
    int version = call.reply().version;
    if (call.arguments().length > 1) {
      String requested = call.argumentText(1);
      if (!requested.matches("[0-9]{1,9}")) {
        throw new CommandException("ERR Protocol version is not an integer or out of range");
      }
      if (!requested.equals("2") && !requested.equals("3")) {
        throw new CommandException("NOPROTO unsupported protocol version");
      }
      version = Integer.parseInt(requested);
    }
    for (int i = 2; i < call.arguments().length; ) {
      if (call.optionArgument(i).equals("AUTH") && i + 2 < call.arguments().length) {
        if (!isPasswordless()) {
          authenticate(call, i + 1, i + 2);
        }
        i += 3;
      } else if (call.optionArgument(i).equals("SETNAME") && i + 1 < call.arguments().length) {
        call.connection().name = call.argumentText(i + 1);
        i += 2;
      } else {
        throw new CommandException(
            "ERR Syntax error in HELLO option '" + call.argumentText(i) + "'");
      }
    }
    if (!call.connection().isAuthenticated) {
      throw new CommandException(
          "NOAUTH HELLO must be called with the client already authenticated, otherwise the "
              + "HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and select the "
              + "RESP protocol version at the same time");
    }
    call.reply().version = version;
    call.reply().beginMap(7);
    for (String each : List.of("server", "fawndock", "version", ServerInfo.VERSION)) {
      call.reply().bulkString(each);
    }
    call.reply().bulkString("proto");
    call.reply().integer(version);
    call.reply().bulkString("id");
    call.reply().integer(call.connection().id);
    for (String each : List.of("mode", "standalone", "role", "master", "modules")) {
      call.reply().bulkString(each);
    }
    call.reply().beginArray(0);
  }

  private static void select(CommandInvocation call) throws CommandException {
    if (call.integerArgument(1) != 0) {
      throw new CommandException("ERR DB index is out of range");
    }
    call.reply().ok();
  }

  private static void client(CommandInvocation call) throws CommandException {
    String subcommand = call.optionArgument(1);
    switch (subcommand + " " + call.arguments().length) {
      case "ID 2" -> call.reply().integer(call.connection().id);
      case "GETNAME 2" -> {
        if (call.connection().name.isEmpty()) {
          call.reply().nullValue();
        } else {
          call.reply().bulkString(call.connection().name);
        }
      }
      case "SETNAME 3" -> {
        call.connection().name = call.argumentText(2);
        call.reply().ok();
      }
      case "SETINFO 4", "NO-EVICT 3", "NO-TOUCH 3" -> call.reply().ok();
      default ->
          throw new CommandException(
              "ERR unknown subcommand or wrong number of arguments for '"
                  + call.argumentText(1)
                  + "'. Try CLIENT HELP.");
    }
  }

  private void command(CommandInvocation call) throws CommandException {
    Collection<Command> all = commands.all();
    String subcommand = call.arguments().length == 1 ? "" : call.optionArgument(1);
    switch (subcommand) {
      case "" -> describeAll(call, all);
      case "COUNT" -> call.reply().integer(all.size());
      case "DOCS" -> call.reply().beginMap(0);
      case "LIST" -> {
        call.reply().beginArray(all.size());
        all.forEach(each -> call.reply().bulkString(each.name().toLowerCase(Locale.ROOT)));
      }
      case "INFO" -> {
        call.reply().beginArray(call.arguments().length - 2);
        for (int i = 2; i < call.arguments().length; i++) {
          Command found = commands.get(call.optionArgument(i));
          if (found == null) {
            call.reply().nullValue();
          } else {
            describe(call, found);
          }
        }
      }
      default ->
          throw new CommandException(
              "ERR unknown subcommand '" + call.argumentText(1) + "'. Try COMMAND HELP.");
    }
  }

  private static void describeAll(CommandInvocation call, Collection<Command> commands) {
    call.reply().beginArray(commands.size());
    commands.forEach(each -> describe(call, each));
  }

  private static void describe(CommandInvocation call, Command command) {
    call.reply().beginArray(6);
    call.reply().bulkString(command.name().toLowerCase(Locale.ROOT));
    call.reply().integer(command.arity());
    call.reply().beginArray(1);
    call.reply().simpleString(command.isWrite() ? "write" : "readonly");
    call.reply().integer(command.firstNameIndex());
    call.reply().integer(command.lastNameIndex());
    call.reply().integer(command.firstNameIndex() == 0 ? 0 : 1);
  }
}
