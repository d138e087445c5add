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

/**
 * Implements the commands on counter names: existence, expiry, deletion and scans. Confined to the
 * event loop.
 */
final class NameCommands {
  private NameCommands() {}

  static List<Command> all() {
    return List.of(
        new Command("DEL", -2, true, 1, -1, NameCommands::del),
        new Command("EXISTS", -2, false, 1, -1, NameCommands::exists),
        new Command("EXPIRE", -3, true, 1, 1, call -> expire(call, 1_000)),
        new Command("PEXPIRE", -3, true, 1, 1, call -> expire(call, 1)),
        new Command("TTL", 2, false, 1, 1, call -> ttl(call, 1_000)),
        new Command("PTTL", 2, false, 1, 1, call -> ttl(call, 1)),
        new Command(
            "PERSIST",
            2,
            true,
            1,
            1,
            call ->
                call.reply()
                    .booleanAsInteger(
                        call.operations()
                            .persist(call.argument(1), call.nowMillis(), call.changes()))),
        new Command(
            "TYPE",
            2,
            false,
            1,
            1,
            call ->
                call.reply()
                    .simpleString(
                        call.operations().table().get(call.argument(1), call.nowMillis()) == null
                            ? "none"
                            : "string")),
        new Command(
            "DBSIZE",
            1,
            false,
            0,
            0,
            call -> call.reply().integer(call.operations().table().size())),
        new Command("SCAN", -2, false, 0, 0, NameCommands::scan));
  }

  private static void del(CommandInvocation call) {
    int deletedCount = 0;
    for (int i = 1; i < call.arguments().length; i++) {
      deletedCount +=
          call.operations().delete(call.argument(i), call.nowMillis(), call.changes()) ? 1 : 0;
    }
    call.reply().integer(deletedCount);
  }

  private static void exists(CommandInvocation call) {
    int existingCount = 0;
    for (int i = 1; i < call.arguments().length; i++) {
      existingCount +=
          call.operations().table().get(call.argument(i), call.nowMillis()) != null ? 1 : 0;
    }
    call.reply().integer(existingCount);
  }

  /**
   * Reads an expiry time from an argument.
   *
   * @param unitMillis the unit of the argument in milliseconds
   * @param baseMillis the time to which the argument is relative, 0 for an absolute time
   * @return the expiry time in milliseconds since 1970
   */
  static long parseExpiry(
      CommandInvocation call, int index, long unitMillis, long baseMillis, String command)
      throws CommandException {
    long value = call.integerArgument(index);
    if (Math.abs(value) > CounterOperations.MAX_EXPIRY_MILLIS / unitMillis - baseMillis
        || value == Long.MIN_VALUE) {
      throw new CommandException("ERR invalid expire time in '" + command + "' command");
    }
    return baseMillis + value * unitMillis;
  }

  private static void expire(CommandInvocation call, long unitMillis) throws CommandException {
    byte[] name = call.nameArgument(1);
    long expiryMillis =
        parseExpiry(
            call, 2, unitMillis, call.nowMillis(), call.argumentText(0).toLowerCase(Locale.ROOT));
    Set<String> options = new HashSet<>();
    for (int i = 3; i < call.arguments().length; i++) {
      if (!Set.of("NX", "XX", "GT", "LT").contains(call.optionArgument(i))) {
        throw new CommandException("ERR Unsupported option " + call.argumentText(i));
      }
      options.add(call.optionArgument(i));
    }
    if (options.contains("NX") && options.size() > 1) {
      throw new CommandException(
          "ERR NX and XX, GT or LT options at the same time are not compatible");
    }
    if (options.contains("GT") && options.contains("LT")) {
      throw new CommandException("ERR GT and LT options at the same time are not compatible");
    }
    boolean requiresExpiry = options.remove("XX");
    ExpiryCondition condition =
        options.isEmpty()
            ? requiresExpiry ? ExpiryCondition.XX : ExpiryCondition.ALWAYS
            : ExpiryCondition.valueOf(options.iterator().next());
    boolean isAllowed =
        !requiresExpiry || call.operations().table().expiryMillis(name, call.nowMillis()) > 0;
    call.reply()
        .booleanAsInteger(
            isAllowed
                && call.operations()
                    .expire(name, expiryMillis, condition, call.nowMillis(), call.changes()));
  }

  private static void ttl(CommandInvocation call, long unitMillis) {
    long expiryMillis = call.operations().table().expiryMillis(call.argument(1), call.nowMillis());
    call.reply()
        .integer(
            expiryMillis < 0
                ? -2
                : expiryMillis == 0
                    ? -1
                    : (expiryMillis - call.nowMillis() + unitMillis / 2) / unitMillis);
  }

  /**
   * Replies with the names of whole shards until the requested count is reached. A name that exists
   * during the whole scan is returned exactly once.
   */
  private static void scan(CommandInvocation call) throws CommandException {
    CounterTable table = call.operations().table();
    long shard;
    try {
      shard = call.integerArgument(1);
    } catch (CommandException e) {
      throw new CommandException("ERR invalid cursor");
    }
    byte[] pattern = null;
    long requestedCount = 10;
    boolean excludesAll = false;
    for (int i = 2; i < call.arguments().length; i += 2) {
      if (i + 1 == call.arguments().length) {
        throw CommandInvocation.syntaxError();
      }
      switch (call.optionArgument(i)) {
        case "MATCH" -> pattern = call.argument(i + 1);
        case "COUNT" -> requestedCount = call.integerArgument(i + 1);
        case "TYPE" -> excludesAll = !call.optionArgument(i + 1).equals("STRING");
        default -> throw CommandInvocation.syntaxError();
      }
    }
    if (requestedCount < 1) {
      throw CommandInvocation.syntaxError();
    }
    List<byte[]> names = new ArrayList<>();
    byte[] matchPattern = pattern;
    long visitedCount = 0;
    while (shard >= 0 && shard < table.shardCount() && visitedCount < requestedCount) {
      int countBefore = names.size();
      long[] visitedInShard = {0};
      table.visitShard(
          (int) shard++,
          call.nowMillis(),
          (name, amount, expiry) -> {
            visitedInShard[0]++;
            if (matchPattern == null || GlobPattern.matches(matchPattern, name)) {
              names.add(name);
            }
          });
      visitedCount += Math.max(visitedInShard[0], names.size() - countBefore);
    }
    call.reply().beginArray(2);
    call.reply().bulkString(Long.toString(shard >= 0 && shard < table.shardCount() ? shard : 0));
    call.reply().beginArray(excludesAll ? 0 : names.size());
    if (!excludesAll) {
      names.forEach(call.reply()::bulkString);
    }
  }
}
