package fawndock.counter;

import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.DecimalAmount;
import java.util.List;

/** Commands on the amounts. Used on the event loop. */
final class AmountCommands {
  private AmountCommands() {}

  static List<Command> all() {
    return List.of(
        new Command("GET", 2, false, 1, 1, c -> replyAmount(c, 1)),
        new Command("MGET", -2, false, 1, -1, AmountCommands::mget),
        new Command("SET", -3, true, 1, 1, AmountCommands::set),
        new Command("INCRBY", 3, true, 1, 1, c -> incrBy(c, c.integer(2))),
        new Command("DECRBY", 3, true, 1, 1, AmountCommands::decrBy),
        new Command("INCRBYFLOAT", 3, true, 1, 1, AmountCommands::incrByFloat),
        new Command("FD.ADD", 4, true, 1, 1, AmountCommands::add));
  }

  private static void replyAmount(CommandInvocation c, int place) {
    DecimalAmount amount = c.operations().table().get(c.word(place), c.nowMillis());
    if (amount == null) {
      c.reply().nullBulk();
    } else {
      c.reply().bulk(amount.toString());
    }
  }

  private static void mget(CommandInvocation c) {
    c.reply().array(c.words().length - 1);
    for (int i = 1; i < c.words().length; i++) {
      replyAmount(c, i);
    }
  }

  private static void incrBy(CommandInvocation c, long by) throws CommandException {
    byte[] name = c.requireName(1);
    DecimalAmount current = c.operations().table().get(name, c.nowMillis());
    if (current != null && current.isFraction()) {
      throw new CommandException(CommandException.NOT_INTEGER);
    }
    DecimalAmount amount = new DecimalAmount(by, false);
    c.reply()
        .integer(c.operations().add(name, amount, 0, c.nowMillis(), c.changes()).unscaledValue());
  }

  private static void decrBy(CommandInvocation c) throws CommandException {
    long by = c.integer(2);
    if (by == Long.MIN_VALUE) {
      throw new CommandException("ERR decrement would overflow");
    }
    incrBy(c, -by);
  }

  private static void incrByFloat(CommandInvocation c) throws CommandException {
    byte[] name = c.requireName(1);
    DecimalAmount by = DecimalAmount.parse(c.word(2));
    c.reply().bulk(c.operations().add(name, by, 0, c.nowMillis(), c.changes()).toString());
  }

  /**
   * {@code FD.ADD name amount ttl-ms}, all of a gateway's call: adds, sets the expiry when there is
   * none yet, and returns the total.
   */
  private static void add(CommandInvocation c) throws CommandException {
    byte[] name = c.requireName(1);
    DecimalAmount by = DecimalAmount.parse(c.word(2));
    long timeToLiveMillis = c.integer(3);
    if (timeToLiveMillis <= 0
        || timeToLiveMillis > CounterOperations.MAX_EXPIRY_MILLIS - c.nowMillis()) {
      throw new CommandException("ERR invalid expire time in 'fd.add' command");
    }
    c.reply()
        .bulk(
            c.operations().add(name, by, timeToLiveMillis, c.nowMillis(), c.changes()).toString());
  }

  private static void set(CommandInvocation c) throws CommandException {
    byte[] name = c.requireName(1);
    DecimalAmount amount = DecimalAmount.parse(c.word(2));
    DecimalAmount previous = c.operations().table().get(name, c.nowMillis());
    SetOptions options = SetOptions.parse(c);
    boolean shouldSet = previous == null ? !options.isIfPresent() : !options.isIfAbsent();
    if (shouldSet) {
      set(c, name, amount, previous != null, options);
    }
    if (options.returnsPrevious() && previous != null) {
      c.reply().bulk(previous.toString());
    } else if (options.returnsPrevious() || !shouldSet) {
      c.reply().nullBulk();
    } else {
      c.reply().ok();
    }
  }

  private static void set(
      CommandInvocation c, byte[] name, DecimalAmount amount, boolean isPresent, SetOptions options)
      throws CommandException {
    CounterOperations operations = c.operations();
    long expiryMillis = options.expiryMillis();
    if (expiryMillis != 0 && expiryMillis <= c.nowMillis()) {
      operations.delete(name, c.nowMillis(), c.changes());
      return;
    }
    if (!isPresent) {
      operations.requireMemoryFor(name);
    }
    if (options.keepsExpiry() && isPresent) {
      expiryMillis = operations.table().expiryMillis(name, c.nowMillis());
    }
    operations.put(name, amount, expiryMillis, c.changes());
  }
}
