package fawndock.settings;

import fawndock.counter.storage.GroupCommit.Durability;
import fawndock.settings.CounterSettings.Cluster;
import fawndock.settings.GatewaySettings.Log;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Reads the counter's settings; what each keyword means is in docs/operations/counter.md. */
public final class CounterSettingsFile extends ConfigurationFile {
  private static final long MINUTE_MICROS = 60_000_000L;
  private static final long MAX_LOG_BYTES = 64L << 30;
  private Address listen;
  private Path directory;
  private Durability durability = Durability.ALWAYS;
  private long syncIntervalMillis = 1_000;
  private long snapshotAfterLogBytes = 64L << 20;
  private String password = "";
  private int maxConnections = 10_000;
  private long maxMemoryBytes = Runtime.getRuntime().maxMemory() * 6 / 10;
  private long stalledClientTimeoutMillis = 10_000;
  private Log log = new Log(false, "info");
  private Cluster cluster = new Cluster("", 1, 150, 2_000, Map.of());
  private final Map<String, Address> peers = new TreeMap<>();

  private CounterSettingsFile(Path file) {
    super(Set.of("fellow"));
    keywords.put(
        "listen",
        line -> {
          LineArguments a = arguments(line, 1, "listen HOST:PORT");
          listen = a.address(0);
          a.rejectUnknown();
        });
    keywords.put(
        "directory",
        line -> {
          LineArguments a = arguments(line, 1, "directory PATH");
          directory = file.toAbsolutePath().getParent().resolve(a.word(0));
          a.rejectUnknown();
        });
    keywords.put(
        "durability",
        line -> {
          LineArguments a = arguments(line, 1, "durability always|interval|none [every TIME]");
          try {
            durability = Durability.valueOf(a.word(0).toUpperCase(java.util.Locale.ROOT));
          } catch (IllegalArgumentException e) {
            a.addError("durability '" + a.word(0) + "'", "always, interval or none");
          }
          syncIntervalMillis = a.micros("every", 1_000, MINUTE_MICROS, 1_000_000) / 1_000;
          a.rejectUnknown();
        });
    keywords.put(
        "snapshot",
        line -> {
          LineArguments a = arguments(line, 0, "snapshot after SIZE");
          snapshotAfterLogBytes = a.parseBytes("after", a.word("after", "64MiB"), MAX_LOG_BYTES);
          a.rejectUnknown();
        });
    keywords.put(
        "password",
        line -> {
          LineArguments a = arguments(line, 1, "password WORD");
          password = a.word(0);
          a.rejectUnknown();
        });
    keywords.put(
        "max-connections",
        line -> {
          LineArguments a = arguments(line, 1, "max-connections NUMBER");
          maxConnections = a.parseInteger("max-connections", a.word(0), 1, 1_000_000, 10_000);
          a.rejectUnknown();
        });
    keywords.put(
        "max-memory",
        line -> {
          LineArguments a = arguments(line, 1, "max-memory SIZE");
          maxMemoryBytes = a.parseBytes("max-memory", a.word(0), Runtime.getRuntime().maxMemory());
          a.rejectUnknown();
        });
    keywords.put(
        "stall",
        line -> {
          LineArguments a = arguments(line, 1, "stall TIME");
          stalledClientTimeoutMillis =
              a.parseMicros("stall", a.word(0), 100_000, 60 * MINUTE_MICROS, 10_000_000) / 1_000;
          a.rejectUnknown();
        });
    keywords.put("log", line -> log = readLog(line));
    keywords.put(
        "fleet",
        line -> {
          LineArguments a = arguments(line, 1, "fleet NAME [epoch N] [missing TIME] [alone TIME]");
          cluster =
              new Cluster(
                  a.word(0),
                  a.integer("epoch", 1, 999_999_999, 1),
                  a.micros("missing", 50_000, MINUTE_MICROS, 150_000) / 1_000,
                  a.micros("alone", 100_000, 10 * MINUTE_MICROS, 2_000_000) / 1_000,
                  Map.of());
          if (cluster.startAloneMillis() < cluster.failureTimeoutMillis()) {
            a.addError(
                "alone is shorter than missing",
                "at least " + cluster.failureTimeoutMillis() + "ms");
          }
          a.rejectUnknown();
        });
    keywords.put(
        "fellow",
        line -> {
          LineArguments a = arguments(line, 2, "fellow NAME HOST:PORT");
          Address address = a.address(1);
          if (peers.putIfAbsent(a.word(0), address) != null) {
            a.addError("fellow " + a.word(0) + " is given twice", "each fellow once");
          }
          a.rejectUnknown();
          crossCheck(a, () -> !cluster.node().isEmpty(), "a fellow without a fleet", "fleet NAME");
          crossCheck(
              a,
              () -> !cluster.node().equals(a.word(0)),
              "fellow " + a.word(0) + " is this node",
              "the others alone");
        });
  }

  /**
   * Reads a settings file and all that it includes; a relative directory is beside the file.
   *
   * @throws ConfigurationException with every mistake when there is any
   */
  public static CounterSettings read(Path file) throws ConfigurationException {
    return new CounterSettingsFile(file).all(file);
  }

  private CounterSettings all(Path file) throws ConfigurationException {
    readLines(file);
    addFileErrorIf(listen == null, "no listen", "listen HOST:PORT");
    addFileErrorIf(directory == null, "no directory", "directory PATH");
    throwIfErrors();
    return new CounterSettings(
        listen,
        directory,
        durability,
        syncIntervalMillis,
        snapshotAfterLogBytes,
        password,
        maxConnections,
        maxMemoryBytes,
        stalledClientTimeoutMillis,
        log,
        new Cluster(
            cluster.node(),
            cluster.epoch(),
            cluster.failureTimeoutMillis(),
            cluster.startAloneMillis(),
            Map.copyOf(peers)));
  }
}
