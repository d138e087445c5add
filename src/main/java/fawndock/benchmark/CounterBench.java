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
 * Benchmark of the counter service. It compares durable additions, in alternating turns, with the
 * limit of writing and syncing record groups of the same size without a counter, and measures
 * additions in memory, latencies at half load and the cost of many idle names.
 */
public final class CounterBench {
  private static final int CONNECTIONS = 8;

  /**
   * Calls in flight on each connection. With the first value a core is the limit, with the others
   * the disk.
   */
  private static final int[] OUTSTANDING = {512, 64, 8, 2};

  private static final double MAX_ADDS_PER_SECOND = 40_000;
  private static final int NAMES = 100_000;

  /** Size of a record without its changes; each change of an 11-byte name adds CHANGE_BYTES. */
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

  /** Measures throughput and latency and prints them; the last line is the result. */
  public void run() throws Exception {
    double[] ratios = new double[OUTSTANDING.length];
    double[] durable = new double[OUTSTANDING.length];
    double[] latencyRatios = new double[3];
    inTemporaryDirectory(
        directory -> {
          try (CounterProcess counter = start(directory, "durability always\n")) {
            CounterLoad load = new CounterLoad(counter.port(), CONNECTIONS, NAMES);
            load.runClosedLoop(OUTSTANDING[0], 2 * seconds, 1);
            for (int o = 0; o < OUTSTANDING.length; o++) {
              double[][] measurements = measureDurable(directory, counter, load, OUTSTANDING[o]);
              durable[o] = MedianStatistics.of(measurements[0]);
              ratios[o] = MedianStatistics.of(measurements[1]);
            }
            double rate = Math.min(durable[0] / 2, MAX_ADDS_PER_SECOND);
            for (int i = 0; i < turns; i++) {
              Histogram latency = load.runAtRate(rate, seconds, 20 + i).latencyMicros();
              double syncMicros = measureBareSyncs(directory, 64)[1];
              out.printf(
                  "at %.0f adds a second: p50 %d, p99 %d, p99.9 %d us; one bare append and sync, median %.0f "
                      + "us%n",
                  rate,
                  latency.getValueAtPercentile(50),
                  latency.getValueAtPercentile(99),
                  latency.getValueAtPercentile(99.9),
                  syncMicros);
              latencyRatios[0] += latency.getValueAtPercentile(50) / syncMicros / turns;
              latencyRatios[1] += latency.getValueAtPercentile(99) / syncMicros / turns;
              latencyRatios[2] += latency.getValueAtPercentile(99.9) / syncMicros / turns;
            }
          }
        });
    double[] memory = new double[turns];
    double[] perCore = new double[turns];
    inTemporaryDirectory(
        directory -> {
          try (CounterProcess counter = start(directory, "durability none\n")) {
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
    StringBuilder summary = new StringBuilder();
    for (int o = 0; o < OUTSTANDING.length; o++) {
      summary.append(
          String.format(
              "%s%.2f (%.0f adds a second, %d out)",
              o == 0 ? "" : ", ", ratios[o], durable[o], OUTSTANDING[o] * CONNECTIONS));
    }
    out.printf(
        "durable ratio %s; adds in memory %.0f a second, %.0f a core second; at half load p50 %.1f, p99 "
            + "%.1f, p99.9 %.1f times a bare sync%n",
        summary,
        MedianStatistics.of(memory),
        MedianStatistics.of(perCore),
        latencyRatios[0],
        latencyRatios[1],
        latencyRatios[2]);
  }

  /**
   * Measures, in alternating turns, additions with a number of calls in flight on each connection,
   * and writing and syncing groups of the same size without a counter.
   */
  private double[][] measureDurable(
      Path directory, CounterProcess counter, CounterLoad load, int outstanding) throws Exception {
    double[] durable = new double[turns];
    double[] ratio = new double[turns];
    for (int i = 0; i < turns; i++) {
      long groups = groupCount(counter.port());
      CounterLoad.LoadResult run = load.runClosedLoop(outstanding, seconds, 10 + i);
      double perGroup = (double) run.acknowledged() / (groupCount(counter.port()) - groups);
      durable[i] = run.perSecond();
      double syncs =
          measureBareSyncs(directory, (int) Math.round(RECORD_BYTES + perGroup * CHANGE_BYTES))[0];
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
   * Adds a number of names to a counter with a heap of 1 GiB, then restarts it. The last line is
   * the result.
   */
  public void runIdleNames(long nameCount) throws Exception {
    inTemporaryDirectory(
        directory -> {
          try (CounterProcess counter = start(directory, "durability none\n")) {
            long startNanos = System.nanoTime();
            long added = 0;
            CounterLoad load = new CounterLoad(counter.port(), CONNECTIONS, NAMES);
            for (long at = 0; at < nameCount; at += 500_000) {
              added +=
                  load.fill(
                      Math.min(500_000, nameCount - at),
                      "quota-of-customer-" + at / 500_000 + "-",
                      false);
              out.printf(
                  "%d names, heap in use %d MiB%n",
                  added, readInfo(counter.port(), "used_memory") >> 20);
            }
            double fillSeconds = (System.nanoTime() - startNanos) / 1e9;
            counter.stop();
            long bytes = 0;
            try (Stream<Path> files = Files.list(directory.resolve("counter"))) {
              for (Path file : files.toList()) {
                bytes += Files.size(file);
              }
            }
            startNanos = System.nanoTime();
            counter.start().get(START_SECONDS, TimeUnit.SECONDS);
            double startSeconds = (System.nanoTime() - startNanos) / 1e9;
            out.printf(
                "%d names in a heap of at most 1024 MiB, %d MiB in use after the start, added in %.1f s, started "
                    + "again on %d MiB in %.1f s%n",
                readInfo(counter.port(), "db0:keys"),
                readInfo(counter.port(), "used_memory") >> 20,
                fillSeconds,
                bytes >> 20,
                startSeconds);
          }
        });
  }

  interface DirectoryTask {
    void run(Path directory) throws Exception;
  }

  /**
   * Runs a task in a new temporary directory below the working directory, so that the benchmark
   * measures the disk of the working directory.
   */
  static void inTemporaryDirectory(DirectoryTask task) throws Exception {
    Path directory = Files.createTempDirectory(Path.of("."), "fawndock-bench").toAbsolutePath();
    try {
      task.run(directory);
    } finally {
      TemporaryDirectories.delete(directory);
    }
  }

  private static CounterProcess start(Path directory, String settings) throws Exception {
    CounterProcess counter = new CounterProcess(directory, settings + "log text level warn\n", JVM);
    counter.start().get(START_SECONDS, TimeUnit.SECONDS);
    return counter;
  }

  /**
   * Appends records of a size for one turn, with a sync after each. Returns the syncs per second
   * and their median in microseconds.
   */
  private double[] measureBareSyncs(Path directory, int bytes) throws IOException {
    Path bareDirectory = Files.createDirectories(directory.resolve("bare"));
    Histogram micros = new Histogram(60_000_000L, 3);
    try (FileStorage storage = new FileStorage(bareDirectory, true);
        Storage.File file = storage.create("bare")) {
      ByteBuffer record = ByteBuffer.allocateDirect(bytes);
      long startNanos = System.nanoTime();
      long now = startNanos;
      for (long at = 0; now - startNanos < seconds * 1e9; at += bytes) {
        file.write(record.clear(), at);
        file.sync();
        long then = System.nanoTime();
        micros.recordValue((then - now) / 1_000);
        now = then;
      }
      double syncsPerSecond = micros.getTotalCount() / ((now - startNanos) / 1e9);
      storage.delete("bare");
      return new double[] {syncsPerSecond, micros.getValueAtPercentile(50)};
    }
  }

  private static long groupCount(int port) throws IOException {
    return readInfo(port, "durable_group");
  }

  private static long readInfo(int port, String field) throws IOException {
    try (CounterClient client = new CounterClient(port)) {
      Matcher matcher =
          Pattern.compile(field + "[:=]([0-9]+)").matcher((String) client.call("INFO"));
      if (!matcher.find()) {
        throw new IOException("INFO of the counter has no field " + field);
      }
      return Long.parseLong(matcher.group(1));
    }
  }
}
