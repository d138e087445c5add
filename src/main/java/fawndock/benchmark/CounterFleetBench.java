package fawndock.benchmark;

import fawndock.scenario.CounterClient;
import fawndock.scenario.CounterProcess;
import fawndock.scenario.GatewayProcesses;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Benchmark that compares three counter nodes with one: throughput in a closed loop, the latency of
 * a single call, and the time that an empty node takes to join.
 */
public final class CounterFleetBench {
  private static final int CONNECTIONS = 8;
  private static final int OUTSTANDING = 64;
  private static final int NAMES = 20_000;
  private static final int CALLS = 2_000;
  private static final int JOINING_NAMES = 1_000_000;
  private static final int START_SECONDS = 60;
  private final double seconds;
  private final int turns;
  private final PrintStream out;

  /**
   * @param seconds of each turn
   * @param turns of each measurement
   */
  public CounterFleetBench(double seconds, int turns, PrintStream out) {
    this.seconds = seconds;
    this.turns = turns;
    this.out = out;
  }

  /** Measures and prints; the last line is the result. */
  public void run() throws Exception {
    CounterBench.inTemporaryDirectory(
        directory -> {
          List<CounterProcess> single = start(directory.resolve("one"), 1);
          List<CounterProcess> fleet = start(directory.resolve("three"), 3);
          try {
            compare(single.get(0).port(), fleet.get(0).port());
            measureJoin(fleet);
          } finally {
            single.forEach(CounterProcess::close);
            fleet.forEach(CounterProcess::close);
          }
        });
  }

  private void compare(int single, int fleet) throws Exception {
    double[] ratio = new double[turns];
    double[] addedMicros = new double[turns];
    new CounterLoad(single, CONNECTIONS, NAMES).runClosedLoopSums(OUTSTANDING, seconds, 1);
    new CounterLoad(fleet, CONNECTIONS, NAMES).runClosedLoopSums(OUTSTANDING, seconds, 2);
    for (int i = 0; i < turns; i++) {
      double singleRate =
          new CounterLoad(single, CONNECTIONS, NAMES)
              .runClosedLoopSums(OUTSTANDING, seconds, 10 + i)
              .perSecond();
      double fleetRate =
          new CounterLoad(fleet, CONNECTIONS, NAMES)
              .runClosedLoopSums(OUTSTANDING, seconds, 20 + i)
              .perSecond();
      Histogram singleLatency = measureCalls(single, 30 + i);
      Histogram fleetLatency = measureCalls(fleet, 40 + i);
      ratio[i] = fleetRate / singleRate;
      addedMicros[i] =
          fleetLatency.getValueAtPercentile(50) - singleLatency.getValueAtPercentile(50);
      out.printf(
          "sums a second: one node %.0f, three %.0f; a call: one p50 %d p99 %d us, three p50 %d p99 %d us%n",
          singleRate,
          fleetRate,
          singleLatency.getValueAtPercentile(50),
          singleLatency.getValueAtPercentile(99),
          fleetLatency.getValueAtPercentile(50),
          fleetLatency.getValueAtPercentile(99));
    }
    out.printf(
        "three nodes take %.2f of the sums that one takes; a call takes %.0f us more%n",
        MedianStatistics.of(ratio), MedianStatistics.of(addedMicros));
  }

  /** Measures the latencies of sequential calls. */
  private static Histogram measureCalls(int port, long origin) throws Exception {
    Histogram micros = new Histogram(60_000_000L, 3);
    try (CounterClient client = new CounterClient(port)) {
      for (int i = 1; i <= CALLS; i++) {
        long startNanos = System.nanoTime();
        client.call(
            "FD.SUM",
            "call-" + i % 100 + ".1",
            Long.toString(origin),
            Integer.toString(i),
            "0",
            "3600000");
        micros.recordValue((System.nanoTime() - startNanos) / 1_000);
      }
    }
    return micros;
  }

  private void measureJoin(List<CounterProcess> nodes) throws Exception {
    long filled =
        new CounterLoad(nodes.get(0).port(), CONNECTIONS, NAMES).fill(JOINING_NAMES, "join-", true);
    nodes.get(2).kill();
    nodes.get(2).deleteState();
    long startNanos = System.nanoTime();
    nodes.get(2).start().get(START_SECONDS, TimeUnit.SECONDS);
    double listenSeconds = (System.nanoTime() - startNanos) / 1e9;
    try (CounterClient client = new CounterClient(nodes.get(2).port())) {
      Object reply = "";
      while (!(reply instanceof String total) || total.isEmpty()) {
        reply = client.call("FD.SUM", "joined.1", "1", "1", "0", "60000");
        Thread.sleep(10);
      }
      out.printf(
          "an empty node with %d names to be told: listens after %.1f s, answers after %.1f s, has %s keys%n",
          filled, listenSeconds, (System.nanoTime() - startNanos) / 1e9, client.call("DBSIZE"));
    }
  }

  private static List<CounterProcess> start(Path directory, int count) throws Exception {
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ports.add(GatewayProcesses.freePort());
    }
    List<CounterProcess> nodes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      StringBuilder settings =
          new StringBuilder("log text level warn\nfleet n" + i + " alone 500ms\n");
      for (int j = 0; j < count; j++) {
        if (i != j) {
          settings
              .append("fellow n")
              .append(j)
              .append(" 127.0.0.1:")
              .append(ports.get(j))
              .append('\n');
        }
      }
      nodes.add(
          new CounterProcess(
              Files.createDirectories(directory.resolve("n" + i)),
              ports.get(i),
              settings.toString(),
              "-Xmx1g"));
    }
    for (CounterProcess node : nodes) {
      node.start().get(START_SECONDS, TimeUnit.SECONDS);
    }
    Thread.sleep(1_500); // Until each node has heard from its peers and is ready.
    return nodes;
  }
}
