package fawndock.counter;

import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.CounterOperations.When;
import fawndock.counter.storage.CounterTable;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Commands on the names: whether they are there, and for how long. */
final class KeyCommands {
  private KeyCommands() {}

  static List<Command> all() {
    return List.of(
        new Command("DEL", -2, true, 1, -1, KeyCommands::del),
        new Command("EXISTS", -2, false, 1, -1, KeyCommands::exists),
        new Command("EXPIRE", -3, true, 1, 1, c -> expire(c, 1_000)),
        new Command("PEXPIRE", -3, true, 1, 1, c -> expire(c, 1)),
        new Command("TTL", 2, false, 1, 1, c -> ttl(c, 1_000)),
        new Command("PTTL", 2, false, 1, 1, c -> ttl(c, 1)),
        new Command(
            "PERSIST",
            2,
            true,
            1,
            1,
            c -> c.reply().flag(c.counts().persist(c.word(1), c.now(), c.changes()))),
        new Command(
            "TYPE",
            2,
            false,
            1,
            1,
            c ->
                c.reply()
                    .simple(
                        c.counts().table().get(c.word(1), c.now()) == null ? "none" : "string")),
        new Command("DBSIZE", 1, false, 0, 0, c -> c.reply().integer(c.counts().table().size())),
        new Command("SCAN", -2, false, 0, 0, KeyCommands::scan));
  }

  private static void del(Call c) {
    int many = 0;
    for (int i = 1; i < c.words().length; i++) {
      many += c.counts().delete(c.word(i), c.now(), c.changes()) ? 1 : 0;
    }
    c.reply().integer(many);
  }

  private static void exists(Call c) {
    int many = 0;
    for (int i = 1; i < c.words().length; i++) {
      many += c.counts().table().get(c.word(i), c.now()) != null ? 1 : 0;
    }
    c.reply().integer(many);
  }

  /** The moment that a word tells in some unit of milliseconds from a start. */
  static long time(Call c, int place, long unit, long start, String command)
      throws CommandException {
    long told = c.whole(place);
    if (Math.abs(told) > CounterOperations.LATEST / unit - start || told == Long.MIN_VALUE) {
      throw new CommandException("ERR invalid expire time in '" + command + "' command");
    }
    return start + told * unit;
  }

  private static void expire(Call c, long unit) throws CommandException {
    byte[] name = c.name(1);
    long at = time(c, 2, unit, c.now(), c.text(0).toLowerCase(Locale.ROOT));
    Set<String> options = new HashSet<>();
    for (int i = 3; i < c.words().length; i++) {
      if (!Set.of("NX", "XX", "GT", "LT").contains(c.option(i))) {
        throw new CommandException("ERR Unsupported option " + c.text(i));
      }
      options.add(c.option(i));
    }
    if (options.contains("NX") && options.size() > 1) {
      throw new CommandException(
          "ERR NX and XX, GT or LT options at the same time are not compatible");
    }
    if (options.contains("GT") && options.contains("LT")) {
      throw new CommandException("ERR GT and LT options at the same time are not compatible");
    }
    boolean must = options.remove("XX");
    When when =
        options.isEmpty() ? must ? When.XX : When.ALWAYS : When.valueOf(options.iterator().next());
    boolean may = !must || c.counts().table().expiry(name, c.now()) > 0;
    c.reply().flag(may && c.counts().expire(name, at, when, c.now(), c.changes()));
  }

  private static void ttl(Call c, long unit) {
    long at = c.counts().table().expiry(c.word(1), c.now());
    c.reply().integer(at < 0 ? -2 : at == 0 ? -1 : (at - c.now() + unit / 2) / unit);
  }

  /**
   * Whole shards until there are enough names; what stays throughout a scan is seen exactly once.
   */
  private static void scan(Call c) throws CommandException {
    CounterTable table = c.counts().table();
    long shard;
    try {
      shard = c.whole(1);
    } catch (CommandException e) {
      throw new CommandException("ERR invalid cursor");
    }
    byte[] pattern = null;
    long wanted = 10;
    boolean none = false;
    for (int i = 2; i < c.words().length; i += 2) {
      if (i + 1 == c.words().length) {
        throw Call.syntax();
      }
      switch (c.option(i)) {
        case "MATCH" -> pattern = c.word(i + 1);
        case "COUNT" -> wanted = c.whole(i + 1);
        case "TYPE" -> none = !c.option(i + 1).equals("STRING");
        default -> throw Call.syntax();
      }
    }
    if (wanted < 1) {
      throw Call.syntax();
    }
    List<byte[]> names = new ArrayList<>();
    byte[] wantedNames = pattern;
    long seen = 0;
    while (shard >= 0 && shard < table.shards() && seen < wanted) {
      int before = names.size();
      long[] all = {0};
      table.visit(
          (int) shard++,
          c.now(),
          (name, amount, expiry) -> {
            all[0]++;
            if (wantedNames == null || Glob.matches(wantedNames, name)) {
              names.add(name);
            }
          });
      seen += Math.max(all[0], names.size() - before);
    }
    c.reply().array(2);
    c.reply().bulk(Long.toString(shard >= 0 && shard < table.shards() ? shard : 0));
    c.reply().array(none ? 0 : names.size());
    if (!none) {
      names.forEach(c.reply()::bulk);
    }
  }
}
