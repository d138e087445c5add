package fawndock.counter;

import fawndock.counter.storage.ChangeRecord;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.GroupCommit;
import fawndock.resp.ReplyWriter;

/**
 * Runs commands on the counters, singly or in transactions, and writes their replies. Confined to
 * the event loop.
 */
final class CommandExecutor {
  /** The number of table slots that one sweep for expired names checks. */
  private static final int SWEEP_SLOTS = 20_000;

  private final CounterOperations operations;
  private final GroupCommit groupCommit;
  private final CommitScheduler commitScheduler;
  private final CommandTable commands;
  private final ServerClock clock;
  private final ServerStats stats;

  CommandExecutor(
      CounterOperations operations,
      GroupCommit groupCommit,
      CommitScheduler commitScheduler,
      CommandTable commands,
      ServerClock clock,
      ServerStats stats) {
    this.operations = operations;
    this.groupCommit = groupCommit;
    this.commitScheduler = commitScheduler;
    this.commands = commands;
    this.clock = clock;
    this.stats = stats;
  }

  long nowMillis() {
    return clock.nowMillis();
  }

  /**
   * Runs one command and writes its reply. An error is written as a reply too.
   *
   * @return the commit group that the reply must wait for, or 0 if it need not wait
   */
  long run(byte[][] arguments, ReplyWriter reply, ClientConnection connection, long nowMillis) {
    commitScheduler.ensureGroupOpen();
    long pendingBefore = groupCommit.pendingBytes();
    try {
      Command command = commands.find(arguments);
      if (!connection.isAuthenticated && !ConnectionCommands.isAllowedUnauthenticated(command)) {
        throw new CommandException("NOAUTH Authentication required.");
      }
      if (command.action() == null) {
        runTransactionCommand(command.name(), reply, connection, nowMillis);
      } else if (connection.transaction != null) {
        enqueue(arguments, command, reply, connection);
      } else {
        invoke(command, arguments, reply, connection, nowMillis);
      }
    } catch (CommandException e) {
      if (connection.transaction != null) {
        connection.transaction.markFailed();
      }
      reply.error(e.getMessage());
    }
    return groupCommit.pendingBytes() != pendingBefore ? groupCommit.awaitedGroup() : 0;
  }

  private void invoke(
      Command command,
      byte[][] arguments,
      ReplyWriter reply,
      ClientConnection connection,
      long nowMillis)
      throws CommandException {
    ChangeRecord changes = command.isWrite() ? reserve(maxChangeBytes(command, arguments)) : null;
    stats.processedCommands++;
    command
        .action()
        .run(new CommandInvocation(arguments, reply, connection, operations, nowMillis, changes));
  }

  private ChangeRecord reserve(long bytes) throws CommandException {
    try {
      return groupCommit.reserve(bytes);
    } catch (CommandException e) {
      stats.rejectedCommands++;
      throw e;
    }
  }

  /**
   * Returns the maximum size in bytes of the changes that a command with these arguments can
   * record.
   */
  private static long maxChangeBytes(Command command, byte[][] arguments) {
    long bytes = 0;
    for (byte[] argument : arguments) {
      bytes += CounterOperations.maxChangeBytes(argument);
    }
    return command.changesPerArgument() * bytes;
  }

  private void enqueue(
      byte[][] arguments, Command command, ReplyWriter reply, ClientConnection connection)
      throws CommandException {
    if (command.name().equals("QUIT")) {
      connection.transaction = null;
      invoke(command, arguments, reply, connection, 0);
    } else if (connection.transaction.add(arguments)) {
      reply.simpleString("QUEUED");
    } else {
      throw new CommandException(
          "ERR a transaction has at most " + Transaction.MAX_COMMANDS + " commands and 256 KiB");
    }
  }

  private void runTransactionCommand(
      String name, ReplyWriter reply, ClientConnection connection, long nowMillis)
      throws CommandException {
    Transaction transaction = connection.transaction;
    if (name.equals("MULTI")) {
      if (transaction != null) {
        throw new CommandException("ERR MULTI calls can not be nested");
      }
      connection.transaction = new Transaction();
      reply.ok();
      return;
    }
    if (transaction == null) {
      throw new CommandException("ERR " + name + " without MULTI");
    }
    connection.transaction = null;
    if (name.equals("DISCARD")) {
      reply.ok();
    } else {
      executeTransaction(transaction, reply, connection, nowMillis);
    }
  }

  /**
   * Runs all commands of a transaction without interruption and in one log record, or runs none if
   * the record cannot hold all their changes.
   */
  private void executeTransaction(
      Transaction transaction, ReplyWriter reply, ClientConnection connection, long nowMillis)
      throws CommandException {
    if (transaction.isFailed()) {
      throw new CommandException("EXECABORT Transaction discarded because of previous errors.");
    }
    long bytes = 0;
    for (byte[][] arguments : transaction.commands()) {
      Command command = commands.find(arguments);
      bytes += command.isWrite() ? maxChangeBytes(command, arguments) : 0;
    }
    if (bytes > 0) {
      reserve(bytes);
    }
    reply.beginArray(transaction.commands().size());
    for (byte[][] arguments : transaction.commands()) {
      try {
        invoke(commands.find(arguments), arguments, reply, connection, nowMillis);
      } catch (CommandException e) {
        reply.error(e.getMessage());
      }
    }
  }

  /** Removes some of the expired names from the table. */
  void sweepExpired() {
    stats.expiredNames += operations.table().sweepExpired(clock.nowMillis(), SWEEP_SLOTS);
  }
}
