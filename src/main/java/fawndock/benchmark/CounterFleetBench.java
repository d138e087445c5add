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
 * What three counter nodes cost beside one: calls in a closed loop, one call's time, and how long
 * one takes to join.
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
        folder -> {
          List<CounterProcess> one = start(folder.resolve("one"), 1);
          List<CounterProcess> three = start(folder.resolve("three"), 3);
          try {
            compare(one.get(0).port(), three.get(0).port());
            measureJoin(three);
          } finally {
            one.forEach(CounterProcess::close);
            three.forEach(CounterProcess::close);
          }
        });
  }

  private void compare(int one, int three) throws Exception {
    double[] ratio = new double[turns];
    double[] added = new double[turns];
    new CounterLoad(one, CONNECTIONS, NAMES).runClosedLoopSums(OUTSTANDING, seconds, 1);
    new CounterLoad(three, CONNECTIONS, NAMES).runClosedLoopSums(OUTSTANDING, seconds, 2);
    for (int i = 0; i < turns; i++) {
      double alone =
          new CounterLoad(one, CONNECTIONS, NAMES)
              .runClosedLoopSums(OUTSTANDING, seconds, 10 + i)
              .perSecond();
      double fleet =
          new CounterLoad(three, CONNECTIONS, NAMES)
              .runClosedLoopSums(OUTSTANDING, seconds, 20 + i)
              .perSecond();
      Histogram h1 = measureCalls(one, 30 + i);
      Histogram h3 = measureCalls(three, 40 + i);
      ratio[i] = fleet / alone;
      added[i] = h3.getValueAtPercentile(50) - h1.getValueAtPercentile(50);
      out.printf(
          "sums a second: one node %.0f, three %.0f; a call: one p50 %d p99 %d us, three p50 %d p99 %d us%n",
          alone,
          fleet,
          h1.getValueAtPercentile(50),
          h1.getValueAtPercentile(99),
          h3.getValueAtPercentile(50),
          h3.getValueAtPercentile(99));
    }
    out.printf(
        "three nodes take %.2f of the sums that one takes; a call takes %.0f us more%n",
        MedianStatistics.of(ratio), MedianStatistics.of(added));
  }

  /** One call after the other. */
  private static Histogram measureCalls(int port, long origin) throws Exception {
    Histogram micros = new Histogram(60_000_000L, 3);
    try (CounterClient caller = new CounterClient(port)) {
      for (int i = 1; i <= CALLS; i++) {
        long begun = System.nanoTime();
        caller.call(
            "FD.SUM",
            "call-" + i % 100 + ".1",
            Long.toString(origin),
            Integer.toString(i),
            "0",
            "3600000");
        micros.recordValue((System.nanoTime() - begun) / 1_000);
      }
    }
    return micros;
  }

  private void measureJoin(List<CounterProcess> nodes) throws Exception {
    long filled =
        new CounterLoad(nodes.get(0).port(), CONNECTIONS, NAMES).fill(JOINING_NAMES, "join-", true);
    nodes.get(2).kill();
    nodes.get(2).deleteState();
    long begun = System.nanoTime();
    nodes.get(2).start().get(START_SECONDS, TimeUnit.SECONDS);
    double listens = (System.nanoTime() - begun) / 1e9;
    try (CounterClient caller = new CounterClient(nodes.get(2).port())) {
      Object told = "";
      while (!(told instanceof String total) || total.isEmpty()) {
        told = caller.call("FD.SUM", "joined.1", "1", "1", "0", "60000");
        Thread.sleep(10);
      }
      out.printf(
          "an empty node with %d names to be told: listens after %.1f s, answers after %.1f s, has %s keys%n",
          filled, listens, (System.nanoTime() - begun) / 1e9, caller.call("DBSIZE"));
    }
  }

  private static List<CounterProcess> start(Path folder, int count) throws Exception {
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ports.add(GatewayProcesses.freePort());
    }
    List<CounterProcess> nodes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      StringBuilder text = new StringBuilder("log text level warn\nfleet n" + i + " alone 500ms\n");
      for (int j = 0; j < count; j++) {
        if (i != j) {
          text.append("fellow n").append(j).append(" 127.0.0.1:").append(ports.get(j)).append('\n');
        }
      }
      nodes.add(
          new CounterProcess(
              Files.createDirectories(folder.resolve("n" + i)),
              ports.get(i),
              text.toString(),
              "-Xmx1g"));
    }
    for (CounterProcess each : nodes) {
      each.start().get(START_SECONDS, TimeUnit.SECONDS);
    }
    Thread.sleep(1_500); // Until each has heard the others and answers.
    return nodes;
  }
}
