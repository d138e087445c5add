package fawndock.counter;

import fawndock.counter.storage.ChangeRecord;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.GroupCommit;
import fawndock.resp.ReplyWriter;

/**
 * Runs commands on the counts, alone or in transactions, and writes their replies. Used on the
 * event loop.
 */
final class CommandExecutor {
  /** Slots of the table that one sweep looks at. */
  private static final int SWEEP_SLOTS = 20_000;

  private final CounterOperations operations;
  private final GroupCommit commit;
  private final CommitScheduler scheduler;
  private final CommandTable commands;
  private final ServerClock clock;
  private final ServerStats stats;

  CommandExecutor(
      CounterOperations operations,
      GroupCommit commit,
      CommitScheduler scheduler,
      CommandTable commands,
      ServerClock clock,
      ServerStats stats) {
    this.operations = operations;
    this.commit = commit;
    this.scheduler = scheduler;
    this.commands = commands;
    this.clock = clock;
    this.stats = stats;
  }

  long nowMillis() {
    return clock.nowMillis();
  }

  /**
   * Runs one command and writes its reply; errors are replies.
   *
   * @return the group that the reply must wait for, or 0
   */
  long run(byte[][] words, ReplyWriter reply, ClientConnection connection, long nowMillis) {
    scheduler.ensureGroupOpen();
    long pendingBefore = commit.pendingBytes();
    try {
      Command command = commands.find(words);
      if (!connection.isAuthenticated && !ConnectionCommands.isAllowedUnauthenticated(command)) {
        throw new CommandException("NOAUTH Authentication required.");
      }
      if (command.action() == null) {
        runTransactionCommand(command.name(), reply, connection, nowMillis);
      } else if (connection.transaction != null) {
        queue(words, command, reply, connection);
      } else {
        perform(command, words, reply, connection, nowMillis);
      }
    } catch (CommandException e) {
      if (connection.transaction != null) {
        connection.transaction.markFailed();
      }
      reply.error(e.getMessage());
    }
    return commit.pendingBytes() != pendingBefore ? commit.awaitedGroup() : 0;
  }

  private void perform(
      Command command,
      byte[][] words,
      ReplyWriter reply,
      ClientConnection connection,
      long nowMillis)
      throws CommandException {
    ChangeRecord changes = command.isWrite() ? reserve(maxChangeBytes(command, words)) : null;
    stats.processedCommands++;
    command
        .action()
        .run(new CommandInvocation(words, reply, connection, operations, nowMillis, changes));
  }

  private ChangeRecord reserve(long bytes) throws CommandException {
    try {
      return commit.reserve(bytes);
    } catch (CommandException e) {
      stats.rejectedCommands++;
      throw e;
    }
  }

  /** The most that a command with these words can note. */
  private static long maxChangeBytes(Command command, byte[][] words) {
    long bytes = 0;
    for (byte[] word : words) {
      bytes += CounterOperations.maxChangeBytes(word);
    }
    return command.changesPerWord() * bytes;
  }

  private void queue(
      byte[][] words, Command command, ReplyWriter reply, ClientConnection connection)
      throws CommandException {
    if (command.name().equals("QUIT")) {
      connection.transaction = null;
      perform(command, words, reply, connection, 0);
    } else if (connection.transaction.add(words)) {
      reply.simpleString("QUEUED");
    } else {
      throw new CommandException(
          "ERR a transaction has at most " + Transaction.MAX_COMMANDS + " commands and 256 KiB");
    }
  }

  private void runTransactionCommand(
      String name, ReplyWriter reply, ClientConnection connection, long nowMillis)
      throws CommandException {
    Transaction ending = connection.transaction;
    if (name.equals("MULTI")) {
      if (ending != null) {
        throw new CommandException("ERR MULTI calls can not be nested");
      }
      connection.transaction = new Transaction();
      reply.ok();
      return;
    }
    if (ending == null) {
      throw new CommandException("ERR " + name + " without MULTI");
    }
    connection.transaction = null;
    if (name.equals("DISCARD")) {
      reply.ok();
    } else {
      execute(ending, reply, connection, nowMillis);
    }
  }

  /** All commands in one turn, in one record of the log; none when the record cannot hold all. */
  private void execute(
      Transaction transaction, ReplyWriter reply, ClientConnection connection, long nowMillis)
      throws CommandException {
    if (transaction.isFailed()) {
      throw new CommandException("EXECABORT Transaction discarded because of previous errors.");
    }
    long bytes = 0;
    for (byte[][] words : transaction.commands()) {
      Command command = commands.find(words);
      bytes += command.isWrite() ? maxChangeBytes(command, words) : 0;
    }
    if (bytes > 0) {
      reserve(bytes);
    }
    reply.beginArray(transaction.commands().size());
    for (byte[][] words : transaction.commands()) {
      try {
        perform(commands.find(words), words, reply, connection, nowMillis);
      } catch (CommandException e) {
        reply.error(e.getMessage());
      }
    }
  }

  /** Forgets some names that have expired. */
  void sweepExpired() {
    stats.expiredNames += operations.table().sweepExpired(clock.nowMillis(), SWEEP_SLOTS);
  }
}
