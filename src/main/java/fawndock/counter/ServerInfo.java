package fawndock.counter;

import fawndock.counter.storage.CounterTable;
import fawndock.counter.storage.GroupCommit;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Builds the reply to {@code INFO}, whose fields are documented for users. Confined to the event
 * loop.
 */
final class ServerInfo {
  static final String VERSION = "0.2.0";
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private final ServerStats stats;
  private final GroupCommit groupCommit;
  private final CommitScheduler commitScheduler;
  private final CounterTable table;
  private final String durability;
  private final long startedNanos = System.nanoTime();
  private final long runId = ThreadLocalRandom.current().nextLong();

  ServerInfo(
      ServerStats stats,
      GroupCommit groupCommit,
      CommitScheduler commitScheduler,
      CounterTable table,
      GroupCommit.Durability durability) {
    this.stats = stats;
    this.groupCommit = groupCommit;
    this.commitScheduler = commitScheduler;
    this.table = table;
    this.durability = durability.name().toLowerCase(Locale.ROOT);
  }

  /** Returns the sections, each with its lines of the form {@code field:value}. */
  String text() {
    Runtime runtime = Runtime.getRuntime();
    String rejection = groupCommit.rejection();
    StringBuilder text = new StringBuilder(512);
    appendSection(text, "Server");
    appendField(text, "redis_version", "7.2.0");
    appendField(text, "redis_mode", "standalone");
    appendField(text, "fawndock_version", VERSION);
    appendField(text, "process_id", ProcessHandle.current().pid());
    appendField(text, "run_id", Long.toHexString(runId));
    appendField(text, "uptime_in_seconds", (System.nanoTime() - startedNanos) / NANOS_PER_SECOND);
    appendSection(text, "Clients");
    appendField(text, "connected_clients", stats.connections);
    appendSection(text, "Memory");
    appendField(text, "used_memory", runtime.totalMemory() - runtime.freeMemory());
    appendField(text, "maxmemory", runtime.maxMemory());
    appendSection(text, "Persistence");
    appendField(text, "durability", durability);
    appendField(text, "last_group", groupCommit.openGroupNumber() - 1);
    appendField(text, "durable_group", commitScheduler.durableGroup());
    appendField(text, "waiting_bytes", groupCommit.pendingBytes());
    appendField(text, "refusing", rejection == null ? "" : rejection);
    appendSection(text, "Stats");
    appendField(text, "total_commands_processed", stats.processedCommands);
    appendField(text, "refused_commands", stats.rejectedCommands);
    appendField(text, "expired_keys", stats.expiredNames);
    appendSection(text, "Keyspace");
    appendField(text, "db0", "keys=" + table.size());
    return text.toString();
  }

  private static void appendSection(StringBuilder text, String name) {
    text.append(text.isEmpty() ? "# " : "\r\n# ").append(name).append("\r\n");
  }

  private static void appendField(StringBuilder text, String name, Object value) {
    text.append(name).append(':').append(value).append("\r\n");
  }
}
