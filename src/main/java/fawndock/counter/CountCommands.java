package fawndock.counter;

import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.DecimalAmount;
import java.util.List;

/** Commands on the amounts. */
final class CountCommands {
  private CountCommands() {}

  static List<Command> all() {
    return List.of(
        new Command("GET", 2, false, 1, 1, c -> amount(c, 1)),
        new Command("MGET", -2, false, 1, -1, CountCommands::mget),
        new Command("SET", -3, true, 1, 1, CountCommands::set),
        new Command("INCRBY", 3, true, 1, 1, c -> incrBy(c, c.whole(2))),
        new Command("DECRBY", 3, true, 1, 1, CountCommands::decrBy),
        new Command(
            "INCRBYFLOAT",
            3,
            true,
            1,
            1,
            c ->
                c.reply()
                    .bulk(
                        c.counts()
                            .add(c.name(1), DecimalAmount.of(c.word(2)), 0, c.now(), c.changes())
                            .toString())),
        new Command("FD.ADD", 4, true, 1, 1, CountCommands::add));
  }

  private static void amount(Call c, int place) {
    DecimalAmount amount = c.counts().table().get(c.word(place), c.now());
    if (amount == null) {
      c.reply().nil();
    } else {
      c.reply().bulk(amount.toString());
    }
  }

  private static void mget(Call c) {
    c.reply().array(c.words().length - 1);
    for (int i = 1; i < c.words().length; i++) {
      amount(c, i);
    }
  }

  private static void incrBy(Call c, long by) throws CommandException {
    byte[] name = c.name(1);
    DecimalAmount was = c.counts().table().get(name, c.now());
    if (was != null && was.fraction()) {
      throw new CommandException(CommandException.NOT_INTEGER);
    }
    c.reply()
        .integer(
            c.counts().add(name, new DecimalAmount(by, false), 0, c.now(), c.changes()).digits());
  }

  private static void decrBy(Call c) throws CommandException {
    long by = c.whole(2);
    if (by == Long.MIN_VALUE) {
      throw new CommandException("ERR decrement would overflow");
    }
    incrBy(c, -by);
  }

  /**
   * The whole of a gatekeeper's call: add, keep for so long when it has no expiry yet, the total
   * back.
   */
  private static void add(Call c) throws CommandException {
    byte[] name = c.name(1);
    DecimalAmount by = DecimalAmount.of(c.word(2));
    long keep = c.whole(3);
    if (keep <= 0 || keep > CounterOperations.LATEST - c.now()) {
      throw new CommandException("ERR invalid expire time in 'fd.add' command");
    }
    c.reply().bulk(c.counts().add(name, by, keep, c.now(), c.changes()).toString());
  }

  private static void set(Call c) throws CommandException {
    byte[] name = c.name(1);
    DecimalAmount amount = DecimalAmount.of(c.word(2));
    DecimalAmount was = c.counts().table().get(name, c.now());
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
            throw Call.syntax();
          }
          String unit = c.option(i);
          expiry =
              KeyCommands.time(
                  c,
                  ++i,
                  unit.startsWith("E") ? 1_000 : 1,
                  unit.endsWith("AT") ? 0 : c.now(),
                  "set");
          if (expiry <= 0 || c.whole(i) <= 0) {
            throw new CommandException("ERR invalid expire time in 'set' command");
          }
        }
        default -> throw Call.syntax();
      }
    }
    if (nx && xx || keep && expiry != 0) {
      throw Call.syntax();
    }
    boolean does = was == null ? !xx : !nx;
    long has = was == null ? 0 : c.counts().table().expiry(name, c.now());
    if (does && expiry != 0 && expiry <= c.now()) {
      c.counts().delete(name, c.now(), c.changes());
    } else if (does) {
      if (was == null) {
        c.counts().roomForName(name);
      }
      c.counts().put(name, amount, keep ? has : expiry, c.changes());
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
