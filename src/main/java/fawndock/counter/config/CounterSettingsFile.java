package fawndock.counter.config;

import fawndock.counter.config.CounterSettings.Cluster;
import fawndock.counter.storage.GroupCommit.Durability;
import fawndock.settings.Address;
import fawndock.settings.ConfigurationException;
import fawndock.settings.ConfigurationFile;
import fawndock.settings.LineArguments;
import fawndock.settings.LogSettings;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Reads the counter's settings file. The constructor lists every keyword with its form;
 * docs/operations/counter.md documents their meaning. Not thread-safe.
 */
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
  private LogSettings log = LogSettings.DEFAULT;
  private Cluster cluster = new Cluster("", 1, 150, 2_000, Map.of());
  private final Map<String, Address> peers = new TreeMap<>();

  private CounterSettingsFile(Path file) {
    super(Set.of("fellow"));
    addressKeyword("listen", address -> listen = address);
    wordKeyword(
        "directory", "PATH", path -> directory = file.toAbsolutePath().getParent().resolve(path));
    keyword("durability", 1, "durability always|interval|none [every TIME]", this::readDurability);
    keyword(
        "snapshot",
        0,
        "snapshot after SIZE",
        arguments ->
            snapshotAfterLogBytes =
                arguments.parseBytes("after", arguments.word("after", "64MiB"), MAX_LOG_BYTES));
    wordKeyword("password", "WORD", word -> password = word);
    integerKeyword("max-connections", 1, 1_000_000, number -> maxConnections = number);
    keyword("max-memory", 1, "max-memory SIZE", this::readMaxMemory);
    timeKeyword(
        "stall",
        100_000,
        60 * MINUTE_MICROS,
        micros -> stalledClientTimeoutMillis = micros / 1_000);
    logKeyword(settings -> log = settings);
    keyword("fleet", 1, "fleet NAME [epoch N] [missing TIME] [alone TIME]", this::readCluster);
    keyword("fellow", 2, "fellow NAME HOST:PORT", this::readPeer);
  }

  /**
   * Reads a settings file and the files that it includes. A relative directory is resolved against
   * the directory of the settings file.
   *
   * @throws ConfigurationException if there are errors; it contains all of them
   */
  public static CounterSettings read(Path file) throws ConfigurationException {
    return new CounterSettingsFile(file).readAll(file);
  }

  private CounterSettings readAll(Path file) throws ConfigurationException {
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
            cluster.nodeName(),
            cluster.epoch(),
            cluster.failureTimeoutMillis(),
            cluster.startAloneMillis(),
            Map.copyOf(peers)));
  }

  private void readDurability(LineArguments arguments) {
    try {
      durability = Durability.valueOf(arguments.positional(0).toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) { // The enum has no such constant.
      arguments.addError(
          "durability '" + arguments.positional(0) + "'", "always, interval or none");
    }
    syncIntervalMillis = arguments.micros("every", 1_000, MINUTE_MICROS, 1_000_000) / 1_000;
  }

  private void readMaxMemory(LineArguments arguments) {
    maxMemoryBytes =
        arguments.parseBytes(
            "max-memory", arguments.positional(0), Runtime.getRuntime().maxMemory());
  }

  private void readCluster(LineArguments arguments) {
    cluster =
        new Cluster(
            arguments.positional(0),
            arguments.integer("epoch", 1, 999_999_999, 1),
            arguments.micros("missing", 50_000, MINUTE_MICROS, 150_000) / 1_000,
            arguments.micros("alone", 100_000, 10 * MINUTE_MICROS, 2_000_000) / 1_000,
            Map.of());
    if (cluster.startAloneMillis() < cluster.failureTimeoutMillis()) {
      arguments.addError(
          "alone is shorter than missing", "at least " + cluster.failureTimeoutMillis() + "ms");
    }
  }

  private void readPeer(LineArguments arguments) {
    String name = arguments.positional(0);
    if (peers.putIfAbsent(name, arguments.address(1)) != null) {
      arguments.addError("fellow " + name + " is given twice", "each fellow once");
    }
    crossCheck(
        arguments,
        () -> !cluster.nodeName().isEmpty(),
        "a fellow line without a fleet line",
        "fleet NAME");
    crossCheck(
        arguments,
        () -> !cluster.nodeName().equals(name),
        "fellow " + name + " is this node",
        "the name of another node");
  }
}
