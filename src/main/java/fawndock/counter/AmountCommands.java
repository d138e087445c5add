package fawndock.counter;

import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.DecimalAmount;
import java.util.List;

/** Commands on the amounts. */
final class AmountCommands {
  private AmountCommands() {}

  static List<Command> all() {
    return List.of(
        new Command("GET", 2, false, 1, 1, c -> amount(c, 1)),
        new Command("MGET", -2, false, 1, -1, AmountCommands::mget),
        new Command("SET", -3, true, 1, 1, AmountCommands::set),
        new Command("INCRBY", 3, true, 1, 1, c -> incrBy(c, c.integer(2))),
        new Command("DECRBY", 3, true, 1, 1, AmountCommands::decrBy),
        new Command(
            "INCRBYFLOAT",
            3,
            true,
            1,
            1,
            c ->
                c.reply()
                    .bulk(
                        c.operations()
                            .add(
                                c.requireName(1),
                                DecimalAmount.parse(c.word(2)),
                                0,
                                c.nowMillis(),
                                c.changes())
                            .toString())),
        new Command("FD.ADD", 4, true, 1, 1, AmountCommands::add));
  }

  private static void amount(CommandInvocation c, int place) {
    DecimalAmount amount = c.operations().table().get(c.word(place), c.nowMillis());
    if (amount == null) {
      c.reply().nil();
    } else {
      c.reply().bulk(amount.toString());
    }
  }

  private static void mget(CommandInvocation c) {
    c.reply().array(c.words().length - 1);
    for (int i = 1; i < c.words().length; i++) {
      amount(c, i);
    }
  }

  private static void incrBy(CommandInvocation c, long by) throws CommandException {
    byte[] name = c.requireName(1);
    DecimalAmount was = c.operations().table().get(name, c.nowMillis());
    if (was != null && was.isFraction()) {
      throw new CommandException(CommandException.NOT_INTEGER);
    }
    c.reply()
        .integer(
            c.operations()
                .add(name, new DecimalAmount(by, false), 0, c.nowMillis(), c.changes())
                .digits());
  }

  private static void decrBy(CommandInvocation c) throws CommandException {
    long by = c.integer(2);
    if (by == Long.MIN_VALUE) {
      throw new CommandException("ERR decrement would overflow");
    }
    incrBy(c, -by);
  }

  /**
   * The whole of a gatekeeper's call: add, keep for so long when it has no expiry yet, the total
   * back.
   */
  private static void add(CommandInvocation c) throws CommandException {
    byte[] name = c.requireName(1);
    DecimalAmount by = DecimalAmount.parse(c.word(2));
    long keep = c.integer(3);
    if (keep <= 0 || keep > CounterOperations.MAX_EXPIRY_MILLIS - c.nowMillis()) {
      throw new CommandException("ERR invalid expire time in 'fd.add' command");
    }
    c.reply().bulk(c.operations().add(name, by, keep, c.nowMillis(), c.changes()).toString());
  }

  private static void set(CommandInvocation c) throws CommandException {
    byte[] name = c.requireName(1);
    DecimalAmount amount = DecimalAmount.parse(c.word(2));
    DecimalAmount was = c.operations().table().get(name, c.nowMillis());
    boolean nx = false;
    boolean xx = false;
    boolean keep = false;
    boolean get = false;
    long expiry = 0;
    for (int i = 3; i < c.words().length; i++) {
      switch (c.option(i)) {
        case "NX" -> nx = true;
        case "XX" -> xx = true;
        case "GET" -> get = true;
        case "KEEPTTL" -> keep = true;
        case "EX", "PX", "EXAT", "PXAT" -> {
          if (expiry != 0 || i + 1 == c.words().length) {
            throw CommandInvocation.syntaxError();
          }
          String unit = c.option(i);
          expiry =
              NameCommands.time(
                  c,
                  ++i,
                  unit.startsWith("E") ? 1_000 : 1,
                  unit.endsWith("AT") ? 0 : c.nowMillis(),
                  "set");
          if (expiry <= 0 || c.integer(i) <= 0) {
            throw new CommandException("ERR invalid expire time in 'set' command");
          }
        }
        default -> throw CommandInvocation.syntaxError();
      }
    }
    if (nx && xx || keep && expiry != 0) {
      throw CommandInvocation.syntaxError();
    }
    boolean does = was == null ? !xx : !nx;
    long has = was == null ? 0 : c.operations().table().expiryMillis(name, c.nowMillis());
    if (does && expiry != 0 && expiry <= c.nowMillis()) {
      c.operations().delete(name, c.nowMillis(), c.changes());
    } else if (does) {
      if (was == null) {
        c.operations().requireMemoryFor(name);
      }
      c.operations().put(name, amount, keep ? has : expiry, c.changes());
    }
    if (get && was != null) {
      c.reply().bulk(was.toString());
    } else if (get || !does) {
      c.reply().nil();
    } else {
      c.reply().ok();
    }
  }
}
