package fawndock.counter;

import fawndock.counter.storage.CommandException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collection;
import java.util.List;
import java.util.Locale;

/** Commands on the connection and on the service itself. Used on the event loop. */
final class ConnectionCommands {
  private final CommandTable commands;
  private final ServerInfo info;
  private final byte[] password;

  /**
   * @param password that a connection must give first; empty for none
   */
  ConnectionCommands(CommandTable commands, ServerInfo info, String password) {
    this.commands = commands;
    this.info = info;
    this.password = password.getBytes(StandardCharsets.UTF_8);
  }

  List<Command> all() {
    return List.of(
        new Command("PING", -1, false, 0, 0, ConnectionCommands::ping),
        new Command("ECHO", 2, false, 0, 0, c -> c.reply().bulkString(c.word(1))),
        new Command("HELLO", -1, false, 0, 0, this::hello),
        new Command("AUTH", -2, false, 0, 0, this::auth),
        new Command("SELECT", 2, false, 0, 0, ConnectionCommands::select),
        new Command(
            "QUIT",
            -1,
            false,
            0,
            0,
            c -> {
              c.reply().ok();
              c.connection().closeAfterReplies();
            }),
        new Command("CLIENT", -2, false, 0, 0, ConnectionCommands::client),
        new Command("COMMAND", -1, false, 0, 0, this::command),
        new Command("INFO", -1, false, 0, 0, c -> c.reply().bulkString(info.text())));
  }

  /** Whether a connection may run it before it has given the password. */
  static boolean isAllowedUnauthenticated(Command command) {
    return List.of("AUTH", "HELLO", "QUIT").contains(command.name());
  }

  boolean isPasswordless() {
    return password.length == 0;
  }

  private static void ping(CommandInvocation c) throws CommandException {
    if (c.words().length > 2) {
      throw wrongArity("ping");
    }
    if (c.words().length == 2) {
      c.reply().bulkString(c.word(1));
    } else {
      c.reply().simpleString("PONG");
    }
  }

  static CommandException wrongArity(String command) {
    return new CommandException(
        "ERR wrong number of arguments for '" + command.toLowerCase(Locale.ROOT) + "' command");
  }

  private void authenticate(CommandInvocation c, int userPlace, int passwordPlace)
      throws CommandException {
    boolean isRight = MessageDigest.isEqual(password, c.word(passwordPlace));
    if (!isRight || (userPlace > 0 && !c.text(userPlace).equals("default"))) {
      throw new CommandException("WRONGPASS invalid username-password pair or user is disabled.");
    }
    c.connection().isAuthenticated = true;
  }

  private void auth(CommandInvocation c) throws CommandException {
    if (c.words().length > 3) {
      throw CommandInvocation.syntaxError();
    }
    if (isPasswordless()) {
      throw new CommandException(
          "ERR AUTH <password> called without any password configured for the default "
              + "user. Are you sure your configuration is correct?");
    }
    authenticate(c, c.words().length - 2, c.words().length - 1);
    c.reply().ok();
  }

  private void hello(CommandInvocation c) throws CommandException {
    int version = c.reply().version;
    if (c.words().length > 1) {
      String requested = c.text(1);
      if (!requested.matches("[0-9]{1,9}")) {
        throw new CommandException("ERR Protocol version is not an integer or out of range");
      }
      if (!requested.equals("2") && !requested.equals("3")) {
        throw new CommandException("NOPROTO unsupported protocol version");
      }
      version = Integer.parseInt(requested);
    }
    for (int i = 2; i < c.words().length; ) {
      if (c.option(i).equals("AUTH") && i + 2 < c.words().length) {
        if (!isPasswordless()) {
          authenticate(c, i + 1, i + 2);
        }
        i += 3;
      } else if (c.option(i).equals("SETNAME") && i + 1 < c.words().length) {
        c.connection().name = c.text(i + 1);
        i += 2;
      } else {
        throw new CommandException("ERR Syntax error in HELLO option '" + c.text(i) + "'");
      }
    }
    if (!c.connection().isAuthenticated) {
      throw new CommandException(
          "NOAUTH HELLO must be called with the client already authenticated, otherwise the "
              + "HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and select the "
              + "RESP protocol version at the same time");
    }
    c.reply().version = version;
    c.reply().beginMap(7);
    for (String each : List.of("server", "fawndock", "version", ServerInfo.VERSION)) {
      c.reply().bulkString(each);
    }
    c.reply().bulkString("proto");
    c.reply().integer(version);
    c.reply().bulkString("id");
    c.reply().integer(c.connection().id);
    for (String each : List.of("mode", "standalone", "role", "master", "modules")) {
      c.reply().bulkString(each);
    }
    c.reply().beginArray(0);
  }

  private static void select(CommandInvocation c) throws CommandException {
    if (c.integer(1) != 0) {
      throw new CommandException("ERR DB index is out of range");
    }
    c.reply().ok();
  }

  private static void client(CommandInvocation c) throws CommandException {
    String subcommand = c.option(1);
    switch (subcommand + " " + c.words().length) {
      case "ID 2" -> c.reply().integer(c.connection().id);
      case "GETNAME 2" -> {
        if (c.connection().name.isEmpty()) {
          c.reply().nullValue();
        } else {
          c.reply().bulkString(c.connection().name);
        }
      }
      case "SETNAME 3" -> {
        c.connection().name = c.text(2);
        c.reply().ok();
      }
      case "SETINFO 4", "NO-EVICT 3", "NO-TOUCH 3" -> c.reply().ok();
      default ->
          throw new CommandException(
              "ERR unknown subcommand or wrong number of arguments for '"
                  + c.text(1)
                  + "'. Try CLIENT HELP.");
    }
  }

  private void command(CommandInvocation c) throws CommandException {
    Collection<Command> all = commands.all();
    String subcommand = c.words().length == 1 ? "" : c.option(1);
    switch (subcommand) {
      case "" -> describeAll(c, all);
      case "COUNT" -> c.reply().integer(all.size());
      case "DOCS" -> c.reply().beginMap(0);
      case "LIST" -> {
        c.reply().beginArray(all.size());
        all.forEach(each -> c.reply().bulkString(each.name().toLowerCase(Locale.ROOT)));
      }
      case "INFO" -> {
        c.reply().beginArray(c.words().length - 2);
        for (int i = 2; i < c.words().length; i++) {
          Command found = commands.get(c.option(i));
          if (found == null) {
            c.reply().nullValue();
          } else {
            describe(c, found);
          }
        }
      }
      default ->
          throw new CommandException(
              "ERR unknown subcommand '" + c.text(1) + "'. Try COMMAND HELP.");
    }
  }

  private static void describeAll(CommandInvocation c, Collection<Command> commands) {
    c.reply().beginArray(commands.size());
    commands.forEach(each -> describe(c, each));
  }

  private static void describe(CommandInvocation c, Command command) {
    c.reply().beginArray(6);
    c.reply().bulkString(command.name().toLowerCase(Locale.ROOT));
    c.reply().integer(command.arity());
    c.reply().beginArray(1);
    c.reply().simpleString(command.isWrite() ? "write" : "readonly");
    c.reply().integer(command.firstName());
    c.reply().integer(command.lastName());
    c.reply().integer(command.firstName() == 0 ? 0 : 1);
  }
}
