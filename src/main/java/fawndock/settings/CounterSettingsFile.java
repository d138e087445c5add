package fawndock.settings;

import fawndock.counter.storage.GroupCommit.Durability;
import fawndock.settings.CounterSettings.Fleet;
import fawndock.settings.GatewaySettings.Log;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Reads the counter's settings; what each keyword means is in docs/operations/counter.md. */
public final class CounterSettingsFile extends ConfigurationFile {
  private static final long MINUTE = 60_000_000L;
  private static final long LARGEST_LOG = 64L << 30;
  private Address listen;
  private Path directory;
  private Durability durability = Durability.ALWAYS;
  private long intervalMillis = 1_000;
  private long snapshotAfter = 64L << 20;
  private String password = "";
  private int maxConnections = 10_000;
  private long maxMemory = Runtime.getRuntime().maxMemory() * 6 / 10;
  private long stallMillis = 10_000;
  private Log log = new Log(false, "info");
  private Fleet fleet = new Fleet("", 1, 150, 2_000, Map.of());
  private final Map<String, Address> fellows = new TreeMap<>();

  private CounterSettingsFile(Path file) {
    super(Set.of("fellow"));
    keywords.put(
        "listen",
        line -> {
          LineArguments a = args(line, 1, "listen HOST:PORT");
          listen = a.address(0);
          a.finish();
        });
    keywords.put(
        "directory",
        line -> {
          LineArguments a = args(line, 1, "directory PATH");
          directory = file.toAbsolutePath().getParent().resolve(a.place(0));
          a.finish();
        });
    keywords.put(
        "durability",
        line -> {
          LineArguments a = args(line, 1, "durability always|interval|none [every TIME]");
          try {
            durability = Durability.valueOf(a.place(0).toUpperCase(java.util.Locale.ROOT));
          } catch (IllegalArgumentException e) {
            a.wrong("durability '" + a.place(0) + "'", "always, interval or none");
          }
          intervalMillis = a.time("every", 1_000, MINUTE, 1_000_000) / 1_000;
          a.finish();
        });
    keywords.put(
        "snapshot",
        line -> {
          LineArguments a = args(line, 0, "snapshot after SIZE");
          snapshotAfter = a.sizeOf("after", a.word("after", "64MiB"), LARGEST_LOG);
          a.finish();
        });
    keywords.put(
        "password",
        line -> {
          LineArguments a = args(line, 1, "password WORD");
          password = a.place(0);
          a.finish();
        });
    keywords.put(
        "max-connections",
        line -> {
          LineArguments a = args(line, 1, "max-connections NUMBER");
          maxConnections = a.wholeOf("max-connections", a.place(0), 1, 1_000_000, 10_000);
          a.finish();
        });
    keywords.put(
        "max-memory",
        line -> {
          LineArguments a = args(line, 1, "max-memory SIZE");
          maxMemory = a.sizeOf("max-memory", a.place(0), Runtime.getRuntime().maxMemory());
          a.finish();
        });
    keywords.put(
        "stall",
        line -> {
          LineArguments a = args(line, 1, "stall TIME");
          stallMillis = a.timeOf("stall", a.place(0), 100_000, 60 * MINUTE, 10_000_000) / 1_000;
          a.finish();
        });
    keywords.put("log", line -> log = log(line));
    keywords.put(
        "fleet",
        line -> {
          LineArguments a = args(line, 1, "fleet NAME [epoch N] [missing TIME] [alone TIME]");
          fleet =
              new Fleet(
                  a.place(0),
                  a.whole("epoch", 1, 999_999_999, 1),
                  a.time("missing", 50_000, MINUTE, 150_000) / 1_000,
                  a.time("alone", 100_000, 10 * MINUTE, 2_000_000) / 1_000,
                  Map.of());
          if (fleet.aloneMillis() < fleet.missingMillis()) {
            a.wrong("alone is shorter than missing", "at least " + fleet.missingMillis() + "ms");
          }
          a.finish();
        });
    keywords.put(
        "fellow",
        line -> {
          LineArguments a = args(line, 2, "fellow NAME HOST:PORT");
          Address address = a.address(1);
          if (fellows.putIfAbsent(a.place(0), address) != null) {
            a.wrong("fellow " + a.place(0) + " is given twice", "each fellow once");
          }
          a.finish();
          check(a, () -> !fleet.node().isEmpty(), "a fellow without a fleet", "fleet NAME");
          check(
              a,
              () -> !fleet.node().equals(a.place(0)),
              "fellow " + a.place(0) + " is this node",
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
    lines(file);
    missing(listen == null, "no listen", "listen HOST:PORT");
    missing(directory == null, "no directory", "directory PATH");
    finish();
    return new CounterSettings(
        listen,
        directory,
        durability,
        intervalMillis,
        snapshotAfter,
        password,
        maxConnections,
        maxMemory,
        stallMillis,
        log,
        new Fleet(
            fleet.node(),
            fleet.epoch(),
            fleet.missingMillis(),
            fleet.aloneMillis(),
            Map.copyOf(fellows)));
  }
}
