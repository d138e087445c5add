package fawndock.counter;

import fawndock.counter.storage.CommandException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Commands on the connection and on the service itself. */
final class SessionCommands {
  private final Engine engine;
  private final byte[] password;

  /**
   * @param password that a connection must give first; empty for none
   */
  SessionCommands(Engine engine, String password) {
    this.engine = engine;
    this.password = password.getBytes(StandardCharsets.UTF_8);
  }

  List<Command> all() {
    return List.of(
        new Command("PING", -1, false, 0, 0, SessionCommands::ping),
        new Command("ECHO", 2, false, 0, 0, c -> c.reply().bulk(c.word(1))),
        new Command("HELLO", -1, false, 0, 0, this::hello),
        new Command("AUTH", -2, false, 0, 0, this::auth),
        new Command("SELECT", 2, false, 0, 0, SessionCommands::select),
        new Command(
            "QUIT",
            -1,
            false,
            0,
            0,
            c -> {
              c.reply().ok();
              c.session().endAfterAnswers();
            }),
        new Command("CLIENT", -2, false, 0, 0, SessionCommands::client),
        new Command("COMMAND", -1, false, 0, 0, this::command),
        new Command("INFO", -1, false, 0, 0, c -> c.reply().bulk(engine.info())));
  }

  /** Whether a connection may ask before it has given the password. */
  static boolean free(Command command) {
    return List.of("AUTH", "HELLO", "QUIT").contains(command.name());
  }

  boolean open() {
    return password.length == 0;
  }

  private static void ping(Call c) throws CommandException {
    if (c.words().length > 2) {
      throw arity("ping");
    }
    if (c.words().length == 2) {
      c.reply().bulk(c.word(1));
    } else {
      c.reply().simple("PONG");
    }
  }

  static CommandException arity(String command) {
    return new CommandException(
        "ERR wrong number of arguments for '" + command.toLowerCase(Locale.ROOT) + "' command");
  }

  private void check(Call c, int user, int word) throws CommandException {
    boolean right = MessageDigest.isEqual(password, c.word(word));
    if (!right || user > 0 && !c.text(user).equals("default")) {
      throw new CommandException("WRONGPASS invalid username-password pair or user is disabled.");
    }
    c.session().known = true;
  }

  private void auth(Call c) throws CommandException {
    if (c.words().length > 3) {
      throw Call.syntax();
    }
    if (open()) {
      throw new CommandException(
          "ERR AUTH <password> called without any password configured for the default "
              + "user. Are you sure your configuration is correct?");
    }
    check(c, c.words().length - 2, c.words().length - 1);
    c.reply().ok();
  }

  private void hello(Call c) throws CommandException {
    int version = c.reply().version;
    if (c.words().length > 1) {
      String told = c.text(1);
      if (!told.matches("[0-9]{1,9}")) {
        throw new CommandException("ERR Protocol version is not an integer or out of range");
      }
      if (!told.equals("2") && !told.equals("3")) {
        throw new CommandException("NOPROTO unsupported protocol version");
      }
      version = Integer.parseInt(told);
    }
    for (int i = 2; i < c.words().length; ) {
      if (c.option(i).equals("AUTH") && i + 2 < c.words().length) {
        if (!open()) {
          check(c, i + 1, i + 2);
        }
        i += 3;
      } else if (c.option(i).equals("SETNAME") && i + 1 < c.words().length) {
        c.session().name = c.text(i + 1);
        i += 2;
      } else {
        throw new CommandException("ERR Syntax error in HELLO option '" + c.text(i) + "'");
      }
    }
    if (!c.session().known) {
      throw new CommandException(
          "NOAUTH HELLO must be called with the client already authenticated, otherwise the "
              + "HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and select the "
              + "RESP protocol version at the same time");
    }
    c.reply().version = version;
    c.reply().map(7);
    for (String each : List.of("server", "fawndock", "version", Engine.VERSION)) {
      c.reply().bulk(each);
    }
    c.reply().bulk("proto");
    c.reply().integer(version);
    c.reply().bulk("id");
    c.reply().integer(c.session().id);
    for (String each : List.of("mode", "standalone", "role", "master", "modules")) {
      c.reply().bulk(each);
    }
    c.reply().array(0);
  }

  private static void select(Call c) throws CommandException {
    if (c.whole(1) != 0) {
      throw new CommandException("ERR DB index is out of range");
    }
    c.reply().ok();
  }

  private static void client(Call c) throws CommandException {
    String what = c.option(1);
    switch (what + " " + c.words().length) {
      case "ID 2" -> c.reply().integer(c.session().id);
      case "GETNAME 2" -> {
        if (c.session().name.isEmpty()) {
          c.reply().nil();
        } else {
          c.reply().bulk(c.session().name);
        }
      }
      case "SETNAME 3" -> {
        c.session().name = c.text(2);
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

  private void command(Call c) throws CommandException {
    Map<String, Command> all = engine.commands();
    String what = c.words().length == 1 ? "" : c.option(1);
    switch (what) {
      case "" -> described(c, all.values());
      case "COUNT" -> c.reply().integer(all.size());
      case "DOCS" -> c.reply().map(0);
      case "LIST" -> {
        c.reply().array(all.size());
        all.keySet().forEach(n -> c.reply().bulk(n.toLowerCase(Locale.ROOT)));
      }
      case "INFO" -> {
        c.reply().array(c.words().length - 2);
        for (int i = 2; i < c.words().length; i++) {
          Command found = all.get(c.option(i));
          if (found == null) {
            c.reply().nil();
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

  private static void described(Call c, Collection<Command> commands) {
    c.reply().array(commands.size());
    commands.forEach(each -> describe(c, each));
  }

  private static void describe(Call c, Command command) {
    c.reply().array(6);
    c.reply().bulk(command.name().toLowerCase(Locale.ROOT));
    c.reply().integer(command.arity());
    c.reply().array(1);
    c.reply().simple(command.writes() ? "write" : "readonly");
    c.reply().integer(command.first());
    c.reply().integer(command.last());
    c.reply().integer(command.first() == 0 ? 0 : 1);
  }
}
