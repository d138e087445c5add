package fawndock.counter;

import fawndock.counter.storage.CounterTable;
import fawndock.counter.storage.GroupCommit;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;

/** The answer to {@code INFO}; its fields are public documentation. Used on the event loop. */
final class ServerInfo {
  static final String VERSION = "0.2.0";
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private final ServerStats stats;
  private final GroupCommit commit;
  private final CommitScheduler scheduler;
  private final CounterTable table;
  private final String durability;
  private final long startedNanos = System.nanoTime();
  private final long runId = ThreadLocalRandom.current().nextLong();

  ServerInfo(
      ServerStats stats,
      GroupCommit commit,
      CommitScheduler scheduler,
      CounterTable table,
      GroupCommit.Durability durability) {
    this.stats = stats;
    this.commit = commit;
    this.scheduler = scheduler;
    this.table = table;
    this.durability = durability.name().toLowerCase(Locale.ROOT);
  }

  /** Sections of lines {@code field:value}. */
  String text() {
    Runtime runtime = Runtime.getRuntime();
    String rejection = commit.rejection();
    StringBuilder text = new StringBuilder(512);
    section(text, "Server");
    field(text, "redis_version", "7.2.0");
    field(text, "redis_mode", "standalone");
    field(text, "fawndock_version", VERSION);
    field(text, "process_id", ProcessHandle.current().pid());
    field(text, "run_id", Long.toHexString(runId));
    field(text, "uptime_in_seconds", (System.nanoTime() - startedNanos) / NANOS_PER_SECOND);
    section(text, "Clients");
    field(text, "connected_clients", stats.connections);
    section(text, "Memory");
    field(text, "used_memory", runtime.totalMemory() - runtime.freeMemory());
    field(text, "maxmemory", runtime.maxMemory());
    section(text, "Persistence");
    field(text, "durability", durability);
    field(text, "last_group", commit.openGroupNumber() - 1);
    field(text, "durable_group", scheduler.durableGroup());
    field(text, "waiting_bytes", commit.pendingBytes());
    field(text, "refusing", rejection == null ? "" : rejection);
    section(text, "Stats");
    field(text, "total_commands_processed", stats.processedCommands);
    field(text, "refused_commands", stats.rejectedCommands);
    field(text, "expired_keys", stats.expiredNames);
    section(text, "Keyspace");
    field(text, "db0", "keys=" + table.size());
    return text.toString();
  }

  private static void section(StringBuilder text, String name) {
    text.append(text.isEmpty() ? "# " : "\r\n# ").append(name).append("\r\n");
  }

  private static void field(StringBuilder text, String name, Object value) {
    text.append(name).append(':').append(value).append("\r\n");
  }
}
