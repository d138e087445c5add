package fawndock.counter;

import fawndock.counter.storage.ChangeRecord;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.GroupCommit;
import fawndock.counter.storage.MonotonicWallClock;
import fawndock.resp.ReplyWriter;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The counts, the commands on them and the answers that wait for the log; all of it on one event
 * loop.
 */
final class CommandExecutor {
  static final String VERSION = "0.2.0";

  /** Sets a node's clock off in a drill. */
  private static final long CLOCK_OFFSET = Long.getLong("fawndock.counter.clock-offset-ms", 0);

  private static final int SWEEP_SLOTS = 20_000;
  private final CounterOperations counts;
  private final GroupCommit commit;
  private final MonotonicWallClock time;
  private final Executor loop;
  private final Map<String, Command> commands = new LinkedHashMap<>();
  private final ConnectionCommands sessionCommands;
  private final Set<ClientConnection> waiting = new LinkedHashSet<>();
  private final long startedAt = System.nanoTime();
  private final long runId = ThreadLocalRandom.current().nextLong();
  private WriteAheadLogThread log;
  private boolean pumping;
  private long durable;
  private long done;
  private long refused;
  private long expired;
  int sessions;
  String durability = "";

  CommandExecutor(
      CounterOperations counts,
      GroupCommit commit,
      MonotonicWallClock time,
      Executor loop,
      String password) {
    this.counts = counts;
    this.commit = commit;
    this.time = time;
    this.loop = loop;
    sessionCommands = new ConnectionCommands(this, password);
    AmountCommands.all().forEach(c -> commands.put(c.name(), c));
    NameCommands.all().forEach(c -> commands.put(c.name(), c));
    sessionCommands.all().forEach(c -> commands.put(c.name(), c));
    for (String name : new String[] {"MULTI", "EXEC", "DISCARD"}) {
      commands.put(name, new Command(name, 1, false, 0, 0, null));
    }
  }

  void log(WriteAheadLogThread logThread) {
    log = logThread;
  }

  /** Adds commands of a part of the service that is not always there. */
  void add(java.util.List<Command> more) {
    more.forEach(c -> commands.put(c.name(), c));
  }

  Map<String, Command> commands() {
    return commands;
  }

  boolean open() {
    return sessionCommands.isPasswordless();
  }

  long now() {
    return time.nowMillis(System.currentTimeMillis() + CLOCK_OFFSET, System.nanoTime());
  }

  /**
   * Does one command and writes its answer.
   *
   * @return the group that the answer must wait for, or 0
   */
  long run(byte[][] words, ReplyWriter reply, ClientConnection session, long now) {
    openGroup();
    long before = commit.pendingBytes();
    try {
      Command command = find(words);
      if (!session.isAuthenticated && !ConnectionCommands.isAllowedUnauthenticated(command)) {
        throw new CommandException("NOAUTH Authentication required.");
      }
      if (command.action() == null) {
        transaction(command.name(), reply, session, now);
      } else if (session.transaction != null) {
        queue(words, command, reply, session);
      } else {
        perform(command, words, reply, session, now);
      }
    } catch (CommandException e) {
      if (session.transaction != null) {
        session.transaction.markFailed();
      }
      reply.error(e.getMessage());
    }
    return commit.pendingBytes() != before ? commit.awaitedGroup() : 0;
  }

  private Command find(byte[][] words) throws CommandException {
    String name =
        new String(
            words[0], 0, Math.min(words[0].length, 128), java.nio.charset.StandardCharsets.UTF_8);
    Command command = commands.get(name);
    if (command == null) {
      command = commands.get(name.toUpperCase(Locale.ROOT));
    }
    if (command == null) {
      StringBuilder begin = new StringBuilder();
      for (int i = 1; i < words.length && begin.length() < 128; i++) {
        begin
            .append('\'')
            .append(
                new String(
                    words[i],
                    0,
                    Math.min(words[i].length, 128 - begin.length()),
                    java.nio.charset.StandardCharsets.UTF_8))
            .append("' ");
      }
      throw new CommandException(
          "ERR unknown command '" + name + "', with args beginning with: " + begin);
    }
    if (!command.acceptsWordCount(words.length)) {
      throw ConnectionCommands.wrongArity(command.name());
    }
    return command;
  }

  private void perform(
      Command command, byte[][] words, ReplyWriter reply, ClientConnection session, long now)
      throws CommandException {
    ChangeRecord changes = command.isWrite() ? room(bytes(command, words)) : null;
    done++;
    command.action().run(new CommandInvocation(words, reply, session, counts, now, changes));
  }

  private ChangeRecord room(long bytes) throws CommandException {
    try {
      return commit.reserve(bytes);
    } catch (CommandException e) {
      refused++;
      throw e;
    }
  }

  /** The most that a command with these words can note. */
  private static long bytes(Command command, byte[][] words) {
    long bytes = 0;
    for (byte[] word : words) {
      bytes += CounterOperations.maxChangeBytes(word);
    }
    return command.changesPerWord() * bytes;
  }

  private void queue(byte[][] words, Command command, ReplyWriter reply, ClientConnection session)
      throws CommandException {
    if (command.name().equals("QUIT")) {
      session.transaction = null;
      perform(command, words, reply, session, 0);
    } else if (session.transaction.add(words)) {
      reply.simple("QUEUED");
    } else {
      throw new CommandException(
          "ERR a transaction has at most " + Transaction.MAX_COMMANDS + " commands and 256 KiB");
    }
  }

  private void transaction(String name, ReplyWriter reply, ClientConnection session, long now)
      throws CommandException {
    Transaction ending = session.transaction;
    if (name.equals("MULTI")) {
      if (ending != null) {
        throw new CommandException("ERR MULTI calls can not be nested");
      }
      session.transaction = new Transaction();
      reply.ok();
      return;
    }
    if (ending == null) {
      throw new CommandException("ERR " + name + " without MULTI");
    }
    session.transaction = null;
    if (name.equals("DISCARD")) {
      reply.ok();
      return;
    }
    if (ending.isFailed()) {
      throw new CommandException("EXECABORT Transaction discarded because of previous errors.");
    }
    long bytes = 0;
    for (byte[][] words : ending.commands()) {
      Command command = find(words);
      bytes += command.isWrite() ? bytes(command, words) : 0;
    }
    if (bytes > 0) {
      room(bytes); // For all of them, or none is done.
    }
    reply.array(ending.commands().size());
    for (byte[][] words : ending.commands()) {
      try {
        perform(find(words), words, reply, session, now);
      } catch (CommandException e) {
        reply.error(e.getMessage());
      }
    }
  }

  /** Has the open group committed in a later turn, with what else comes in this one. */
  void pumpSoon() {
    if (!pumping) {
      pumping = true;
      loop.execute(
          () -> {
            pumping = false;
            pump();
          });
    }
  }

  void pump() {
    openGroup();
    long now = now();
    GroupCommit.LogWork work = commit.nextWork(now);
    if (work != null) {
      log.perform(work);
    } else if ((work = commit.offerOpenGroup(now)) != null) {
      log.offer(work);
    }
  }

  /**
   * Has a group open to note changes in: the one that was offered, or a new one when that was
   * taken.
   */
  void openGroup() {
    if (commit.offered()) {
      if (log.withdraw()) {
        commit.onOfferWithdrawn();
      } else {
        commit.onOfferTaken();
      }
    }
  }

  /** A session has an answer that waits. */
  void waits(ClientConnection session) {
    waiting.add(session);
  }

  void gone(ClientConnection session) {
    waiting.remove(session);
  }

  /** All groups up to this one are durable. */
  void release(long number) {
    durable = Math.max(durable, number);
    for (ClientConnection session : Set.copyOf(waiting)) {
      if (!session.releaseUpTo(durable)) {
        waiting.remove(session);
      }
    }
  }

  CounterOperations counts() {
    return counts;
  }

  /** Forgets some names that have expired. */
  void sweep() {
    expired += counts.table().sweepExpired(now(), SWEEP_SLOTS);
  }

  String info() {
    Runtime runtime = Runtime.getRuntime();
    String refusal = commit.rejection();
    return "# Server\r\nredis_version:7.2.0\r\nredis_mode:standalone\r\nfawndock_version:"
        + VERSION
        + "\r\nprocess_id:"
        + ProcessHandle.current().pid()
        + "\r\nrun_id:"
        + Long.toHexString(runId)
        + "\r\nuptime_in_seconds:"
        + (System.nanoTime() - startedAt) / 1_000_000_000
        + "\r\n\r\n# Clients\r\nconnected_clients:"
        + sessions
        + "\r\n\r\n# Memory\r\nused_memory:"
        + (runtime.totalMemory() - runtime.freeMemory())
        + "\r\nmaxmemory:"
        + runtime.maxMemory()
        + "\r\n\r\n# Persistence\r\ndurability:"
        + durability
        + "\r\nlast_group:"
        + (commit.openGroup() - 1)
        + "\r\ndurable_group:"
        + durable
        + "\r\nwaiting_bytes:"
        + commit.pendingBytes()
        + "\r\nrefusing:"
        + (refusal == null ? "" : refusal)
        + "\r\n\r\n# Stats\r\ntotal_commands_processed:"
        + done
        + "\r\nrefused_commands:"
        + refused
        + "\r\nexpired_keys:"
        + expired
        + "\r\n\r\n# Keyspace\r\ndb0:keys="
        + counts.table().size()
        + "\r\n";
  }
}
