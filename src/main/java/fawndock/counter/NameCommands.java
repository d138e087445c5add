package fawndock.counter;

import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.CounterOperations.ExpiryCondition;
import fawndock.counter.storage.CounterTable;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Commands on the names: whether they are there, and for how long. Used on the event loop. */
final class NameCommands {
  private NameCommands() {}

  static List<Command> all() {
    return List.of(
        new Command("DEL", -2, true, 1, -1, NameCommands::del),
        new Command("EXISTS", -2, false, 1, -1, NameCommands::exists),
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
            c -> c.reply().flag(c.operations().persist(c.word(1), c.nowMillis(), c.changes()))),
        new Command(
            "TYPE",
            2,
            false,
            1,
            1,
            c ->
                c.reply()
                    .simple(
                        c.operations().table().get(c.word(1), c.nowMillis()) == null
                            ? "none"
                            : "string")),
        new Command(
            "DBSIZE", 1, false, 0, 0, c -> c.reply().integer(c.operations().table().size())),
        new Command("SCAN", -2, false, 0, 0, NameCommands::scan));
  }

  private static void del(CommandInvocation c) {
    int many = 0;
    for (int i = 1; i < c.words().length; i++) {
      many += c.operations().delete(c.word(i), c.nowMillis(), c.changes()) ? 1 : 0;
    }
    c.reply().integer(many);
  }

  private static void exists(CommandInvocation c) {
    int many = 0;
    for (int i = 1; i < c.words().length; i++) {
      many += c.operations().table().get(c.word(i), c.nowMillis()) != null ? 1 : 0;
    }
    c.reply().integer(many);
  }

  /**
   * Reads an expiry.
   *
   * @param unitMillis of the word
   * @param startMillis that it is relative to, 0 for an absolute one
   * @return milliseconds since 1970
   */
  static long parseExpiry(
      CommandInvocation c, int place, long unitMillis, long startMillis, String command)
      throws CommandException {
    long value = c.integer(place);
    if (Math.abs(value) > CounterOperations.MAX_EXPIRY_MILLIS / unitMillis - startMillis
        || value == Long.MIN_VALUE) {
      throw new CommandException("ERR invalid expire time in '" + command + "' command");
    }
    return startMillis + value * unitMillis;
  }

  private static void expire(CommandInvocation c, long unit) throws CommandException {
    byte[] name = c.requireName(1);
    long at = parseExpiry(c, 2, unit, c.nowMillis(), c.text(0).toLowerCase(Locale.ROOT));
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
    ExpiryCondition when =
        options.isEmpty()
            ? must ? ExpiryCondition.XX : ExpiryCondition.ALWAYS
            : ExpiryCondition.valueOf(options.iterator().next());
    boolean may = !must || c.operations().table().expiryMillis(name, c.nowMillis()) > 0;
    c.reply().flag(may && c.operations().expire(name, at, when, c.nowMillis(), c.changes()));
  }

  private static void ttl(CommandInvocation c, long unit) {
    long at = c.operations().table().expiryMillis(c.word(1), c.nowMillis());
    c.reply().integer(at < 0 ? -2 : at == 0 ? -1 : (at - c.nowMillis() + unit / 2) / unit);
  }

  /**
   * Whole shards until there are enough names; what stays throughout a scan is seen exactly once.
   */
  private static void scan(CommandInvocation c) throws CommandException {
    CounterTable table = c.operations().table();
    long shard;
    try {
      shard = c.integer(1);
    } catch (CommandException e) {
      throw new CommandException("ERR invalid cursor");
    }
    byte[] pattern = null;
    long wanted = 10;
    boolean none = false;
    for (int i = 2; i < c.words().length; i += 2) {
      if (i + 1 == c.words().length) {
        throw CommandInvocation.syntaxError();
      }
      switch (c.option(i)) {
        case "MATCH" -> pattern = c.word(i + 1);
        case "COUNT" -> wanted = c.integer(i + 1);
        case "TYPE" -> none = !c.option(i + 1).equals("STRING");
        default -> throw CommandInvocation.syntaxError();
      }
    }
    if (wanted < 1) {
      throw CommandInvocation.syntaxError();
    }
    List<byte[]> names = new ArrayList<>();
    byte[] wantedNames = pattern;
    long seen = 0;
    while (shard >= 0 && shard < table.shardCount() && seen < wanted) {
      int before = names.size();
      long[] all = {0};
      table.visitShard(
          (int) shard++,
          c.nowMillis(),
          (name, amount, expiry) -> {
            all[0]++;
            if (wantedNames == null || GlobPattern.matches(wantedNames, name)) {
              names.add(name);
            }
          });
      seen += Math.max(all[0], names.size() - before);
    }
    c.reply().array(2);
    c.reply().bulk(Long.toString(shard >= 0 && shard < table.shardCount() ? shard : 0));
    c.reply().array(none ? 0 : names.size());
    if (!none) {
      names.forEach(c.reply()::bulk);
    }
  }
}
