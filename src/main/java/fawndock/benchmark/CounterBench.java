package fawndock.benchmark;

import fawndock.counter.FileStorage;
import fawndock.counter.storage.Storage;
import fawndock.scenario.CounterClient;
import fawndock.scenario.CounterProcess;
import fawndock.scenario.TemporaryDirectories;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/**
 * What the counter service makes of its disk and of a core: durable adds against the bare limit of
 * writing the same groups with the same syncs, in turns; adds in memory; latencies at half load;
 * and what many idle names cost.
 */
public final class CounterBench {
  private static final int CONNECTIONS = 8;

  /**
   * Calls out on each connection: the first is what a core is the limit of, the others what the
   * disk is.
   */
  private static final int[] OUTSTANDING = {512, 64, 8, 2};

  private static final double MAX_ADDS_PER_SECOND = 40_000;
  private static final int NAMES = 100_000;

  /** Bytes of a record without its changes, and of a change of a name of 11. */
  private static final int RECORD_BYTES = 24;

  private static final int CHANGE_BYTES = 30;
  private static final int START_SECONDS = 120;
  private static final String[] JVM = {"-Xms1g", "-Xmx1g", "-XX:+UseParallelGC"};
  private final double seconds;
  private final int turns;
  private final PrintStream out;

  /**
   * @param seconds of each turn
   * @param turns of each measurement
   */
  public CounterBench(double seconds, int turns, PrintStream out) {
    this.seconds = seconds;
    this.turns = turns;
    this.out = out;
  }

  /** Measures speed and prints; the last line is the result. */
  public void run() throws Exception {
    double[] ratios = new double[OUTSTANDING.length];
    double[] durable = new double[OUTSTANDING.length];
    double[] p = new double[3];
    inTemporaryDirectory(
        folder -> {
          try (CounterProcess counter = start(folder, "durability always\n")) {
            CounterLoad load = new CounterLoad(counter.port(), CONNECTIONS, NAMES);
            load.runClosedLoop(OUTSTANDING[0], 2 * seconds, 1);
            for (int o = 0; o < OUTSTANDING.length; o++) {
              double[][] found = measureDurable(folder, counter, load, OUTSTANDING[o]);
              durable[o] = MedianStatistics.of(found[0]);
              ratios[o] = MedianStatistics.of(found[1]);
            }
            double rate = Math.min(durable[0] / 2, MAX_ADDS_PER_SECOND);
            for (int i = 0; i < turns; i++) {
              Histogram h = load.runAtRate(rate, seconds, 20 + i).latencyMicros();
              double sync = measureBareSyncs(folder, 64)[1];
              out.printf(
                  "at %.0f adds a second: p50 %d, p99 %d, p99.9 %d us; one bare append and sync, median %.0f "
                      + "us%n",
                  rate,
                  h.getValueAtPercentile(50),
                  h.getValueAtPercentile(99),
                  h.getValueAtPercentile(99.9),
                  sync);
              p[0] += h.getValueAtPercentile(50) / sync / turns;
              p[1] += h.getValueAtPercentile(99) / sync / turns;
              p[2] += h.getValueAtPercentile(99.9) / sync / turns;
            }
          }
        });
    double[] memory = new double[turns];
    double[] perCore = new double[turns];
    inTemporaryDirectory(
        folder -> {
          try (CounterProcess counter = start(folder, "durability none\n")) {
            CounterLoad load = new CounterLoad(counter.port(), CONNECTIONS, NAMES);
            load.runClosedLoop(OUTSTANDING[0], 2 * seconds, 1);
            for (int i = 0; i < turns; i++) {
              double before = counter.cpuSeconds();
              CounterLoad.LoadResult run = load.runClosedLoop(OUTSTANDING[0], seconds, 30 + i);
              memory[i] = run.perSecond();
              perCore[i] = run.acknowledged() / (counter.cpuSeconds() - before);
              out.printf(
                  "adds in memory a second: %.0f (%d refused), %.0f for each second of a core%n",
                  memory[i], run.rejected(), perCore[i]);
            }
          }
        });
    StringBuilder by = new StringBuilder();
    for (int o = 0; o < OUTSTANDING.length; o++) {
      by.append(
          String.format(
              "%s%.2f (%.0f adds a second, %d out)",
              o == 0 ? "" : ", ", ratios[o], durable[o], OUTSTANDING[o] * CONNECTIONS));
    }
    out.printf(
        "durable ratio %s; adds in memory %.0f a second, %.0f a core second; at half load p50 %.1f, p99 "
            + "%.1f, p99.9 %.1f times a bare sync%n",
        by, MedianStatistics.of(memory), MedianStatistics.of(perCore), p[0], p[1], p[2]);
  }

  /**
   * In turns: adds with so many out on each connection, and the same groups written and synced
   * without a counter.
   */
  private double[][] measureDurable(
      Path folder, CounterProcess counter, CounterLoad load, int outstanding) throws Exception {
    double[] durable = new double[turns];
    double[] ratio = new double[turns];
    for (int i = 0; i < turns; i++) {
      long groups = groupCount(counter.port());
      CounterLoad.LoadResult run = load.runClosedLoop(outstanding, seconds, 10 + i);
      double perGroup = (double) run.acknowledged() / (groupCount(counter.port()) - groups);
      durable[i] = run.perSecond();
      double syncs =
          measureBareSyncs(folder, (int) Math.round(RECORD_BYTES + perGroup * CHANGE_BYTES))[0];
      ratio[i] = durable[i] / (syncs * perGroup);
      out.printf(
          "%d out: %.0f durable adds a second in groups of %.0f (%d refused); bare limit %.0f (%.0f syncs "
              + "a second): %.2f of it%n",
          outstanding * CONNECTIONS,
          durable[i],
          perGroup,
          run.rejected(),
          syncs * perGroup,
          syncs,
          ratio[i]);
    }
    return new double[][] {durable, ratio};
  }

  /**
   * Fills a counter of 1 GB heap with so many names, then starts it again; the last line is the
   * result.
   */
  public void runIdleNames(long many) throws Exception {
    inTemporaryDirectory(
        folder -> {
          try (CounterProcess counter = start(folder, "durability none\n")) {
            long begun = System.nanoTime();
            long added = 0;
            CounterLoad load = new CounterLoad(counter.port(), CONNECTIONS, NAMES);
            for (long at = 0; at < many; at += 500_000) {
              added +=
                  load.fill(
                      Math.min(500_000, many - at),
                      "quota-of-customer-" + at / 500_000 + "-",
                      false);
              out.printf(
                  "%d names, heap in use %d MiB%n",
                  added, readInfo(counter.port(), "used_memory") >> 20);
            }
            double filling = (System.nanoTime() - begun) / 1e9;
            counter.stop();
            long bytes = 0;
            try (Stream<Path> files = Files.list(folder.resolve("counter"))) {
              for (Path each : files.toList()) {
                bytes += Files.size(each);
              }
            }
            begun = System.nanoTime();
            counter.start().get(START_SECONDS, TimeUnit.SECONDS);
            double starting = (System.nanoTime() - begun) / 1e9;
            out.printf(
                "%d names in a heap of at most 1024 MiB, %d MiB in use after the start, added in %.1f s, started "
                    + "again on %d MiB in %.1f s%n",
                readInfo(counter.port(), "db0:keys"),
                readInfo(counter.port(), "used_memory") >> 20,
                filling,
                bytes >> 20,
                starting);
          }
        });
  }

  interface DirectoryTask {
    void run(Path folder) throws Exception;
  }

  /**
   * A folder of its own on the disk where the project is used, so that the disk is the one that is
   * asked about.
   */
  static void inTemporaryDirectory(DirectoryTask what) throws Exception {
    Path folder = Files.createTempDirectory(Path.of("."), "fawndock-bench").toAbsolutePath();
    try {
      what.run(folder);
    } finally {
      TemporaryDirectories.delete(folder);
    }
  }

  private static CounterProcess start(Path folder, String settings) throws Exception {
    CounterProcess counter = new CounterProcess(folder, settings + "log text level warn\n", JVM);
    counter.start().get(START_SECONDS, TimeUnit.SECONDS);
    return counter;
  }

  /**
   * Appends records of so many bytes, a sync after each, for a turn: syncs a second, and their
   * median in us.
   */
  private double[] measureBareSyncs(Path folder, int bytes) throws IOException {
    Path directory = Files.createDirectories(folder.resolve("bare"));
    Histogram micros = new Histogram(60_000_000L, 3);
    try (FileStorage disk = new FileStorage(directory, true);
        Storage.File file = disk.create("bare")) {
      ByteBuffer record = ByteBuffer.allocateDirect(bytes);
      long begun = System.nanoTime();
      long now = begun;
      for (long at = 0; now - begun < seconds * 1e9; at += bytes) {
        file.write(record.clear(), at);
        file.sync();
        long then = System.nanoTime();
        micros.recordValue((then - now) / 1_000);
        now = then;
      }
      double many = micros.getTotalCount() / ((now - begun) / 1e9);
      disk.delete("bare");
      return new double[] {many, micros.getValueAtPercentile(50)};
    }
  }

  private static long groupCount(int port) throws IOException {
    return readInfo(port, "durable_group");
  }

  private static long readInfo(int port, String what) throws IOException {
    try (CounterClient caller = new CounterClient(port)) {
      Matcher found = Pattern.compile(what + "[:=]([0-9]+)").matcher((String) caller.call("INFO"));
      if (!found.find()) {
        throw new IOException("the counter does not tell its " + what);
      }
      return Long.parseLong(found.group(1));
    }
  }
}
