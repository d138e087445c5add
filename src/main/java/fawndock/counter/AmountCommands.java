package fawndock.counter;

import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.DecimalAmount;
import java.util.List;

/**
 * Implements the commands that read and change the amounts of counters. Confined to the event loop.
 */
final class AmountCommands {
  private AmountCommands() {}

  static List<Command> all() {
    return List.of(
        new Command("GET", 2, false, 1, 1, call -> replyAmount(call, 1)),
        new Command("MGET", -2, false, 1, -1, AmountCommands::mget),
        new Command("SET", -3, true, 1, 1, AmountCommands::set),
        new Command("INCRBY", 3, true, 1, 1, call -> incrBy(call, call.integerArgument(2))),
        new Command("DECRBY", 3, true, 1, 1, AmountCommands::decrBy),
        new Command("INCRBYFLOAT", 3, true, 1, 1, AmountCommands::incrByFloat),
        new Command("FD.ADD", 4, true, 1, 1, AmountCommands::add));
  }

  private static void replyAmount(CommandInvocation call, int index) {
    DecimalAmount amount = call.operations().table().get(call.argument(index), call.nowMillis());
    if (amount == null) {
      call.reply().nullValue();
    } else {
      call.reply().bulkString(amount.toString());
    }
  }

  private static void mget(CommandInvocation call) {
    call.reply().beginArray(call.arguments().length - 1);
    for (int i = 1; i < call.arguments().length; i++) {
      replyAmount(call, i);
    }
  }

  private static void incrBy(CommandInvocation call, long increment) throws CommandException {
    byte[] name = call.nameArgument(1);
    DecimalAmount current = call.operations().table().get(name, call.nowMillis());
    if (current != null && current.isFraction()) {
      throw new CommandException(CommandException.NOT_INTEGER);
    }
    DecimalAmount amount = new DecimalAmount(increment, false);
    call.reply()
        .integer(
            call.operations()
                .add(name, amount, 0, call.nowMillis(), call.changes())
                .unscaledValue());
  }

  private static void decrBy(CommandInvocation call) throws CommandException {
    long decrement = call.integerArgument(2);
    if (decrement == Long.MIN_VALUE) {
      throw new CommandException("ERR decrement would overflow");
    }
    incrBy(call, -decrement);
  }

  private static void incrByFloat(CommandInvocation call) throws CommandException {
    byte[] name = call.nameArgument(1);
    DecimalAmount increment = DecimalAmount.parse(call.argument(2));
    call.reply()
        .bulkString(
            call.operations().add(name, increment, 0, call.nowMillis(), call.changes()).toString());
  }

  /**
   * Runs {@code FD.ADD name amount ttl-ms}: adds the amount, sets the expiry if the counter has
   * none, and replies with the total. A gateway needs only this one command per update.
   */
  private static void add(CommandInvocation call) throws CommandException {
    byte[] name = call.nameArgument(1);
    DecimalAmount increment = DecimalAmount.parse(call.argument(2));
    long timeToLiveMillis = call.integerArgument(3);
    if (timeToLiveMillis <= 0
        || timeToLiveMillis > CounterOperations.MAX_EXPIRY_MILLIS - call.nowMillis()) {
      throw new CommandException("ERR invalid expire time in 'fd.add' command");
    }
    call.reply()
        .bulkString(
            call.operations()
                .add(name, increment, timeToLiveMillis, call.nowMillis(), call.changes())
                .toString());
  }

  private static void set(CommandInvocation call) throws CommandException {
    byte[] name = call.nameArgument(1);
    DecimalAmount amount = DecimalAmount.parse(call.argument(2));
    DecimalAmount previous = call.operations().table().get(name, call.nowMillis());
    SetOptions options = SetOptions.parse(call);
    boolean shouldSet = previous == null ? !options.onlyIfPresent() : !options.onlyIfAbsent();
    if (shouldSet) {
      set(call, name, amount, previous != null, options);
    }
    if (options.returnsPrevious() && previous != null) {
      call.reply().bulkString(previous.toString());
    } else if (options.returnsPrevious() || !shouldSet) {
      call.reply().nullValue();
    } else {
      call.reply().ok();
    }
  }

  private static void set(
      CommandInvocation call,
      byte[] name,
      DecimalAmount amount,
      boolean isPresent,
      SetOptions options)
      throws CommandException {
    CounterOperations operations = call.operations();
    long expiryMillis = options.expiryMillis();
    if (expiryMillis != 0 && expiryMillis <= call.nowMillis()) {
      operations.delete(name, call.nowMillis(), call.changes());
      return;
    }
    if (!isPresent) {
      operations.requireMemoryFor(name);
    }
    if (options.keepsExpiry() && isPresent) {
      expiryMillis = operations.table().expiryMillis(name, call.nowMillis());
    }
    operations.put(name, amount, expiryMillis, call.changes());
  }
}
