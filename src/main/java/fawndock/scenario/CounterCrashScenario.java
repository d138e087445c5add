package fawndock.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Scenario {@code counter-crash}: the counter service is killed (SIGKILL) at random moments under
 * load from several connections and started again. After each start, every recovered total is
 * checked against the adds that the counter acknowledged.
 */
public final class CounterCrashScenario {
  private static final int CONNECTIONS = 6;
  private static final int NAMES = 60;
  private static final int MAX_OUTSTANDING = 200;
  private static final String TIME_TO_LIVE_MILLIS = "3600000";
  private static final String SETTINGS = "snapshot after 512KiB\nlog text level info\n";
  private final int kills;
  private final SplittableRandom random;
  private final PrintStream out;
  private final CounterTotalsChecker totals = new CounterTotalsChecker();

  /**
   * @param kills number of kills, at least 1
   */
  public CounterCrashScenario(int kills, long seed, PrintStream out) {
    this.kills = kills;
    this.random = new SplittableRandom(seed);
    this.out = out;
  }

  /** An add without a reply so far. */
  private record PendingAdd(String name, BigDecimal amount) {}

  /**
   * Runs the scenario and prints the result last; returns whether every total was right and at
   * least one add was acknowledged.
   */
  public boolean run() throws Exception {
    Path directory = Files.createTempDirectory("fawndock-counter");
    List<String> errors = new ArrayList<>();
    long worstRecoveryMillis = 0;
    try (CounterProcess counter =
        new CounterProcess(
            directory, SETTINGS, "-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")) {
      start(counter);
      for (int kill = 1; kill <= kills; kill++) {
        long acknowledgedBefore = totals.acknowledgedCount();
        List<Thread> clientThreads = startLoad(counter.port());
        Thread.sleep(300 + random.nextInt(900));
        counter.kill();
        for (Thread thread : clientThreads) {
          thread.join(TimeUnit.SECONDS.toMillis(ChildProcess.START_SECONDS));
        }
        long recoveryMillis = start(counter);
        worstRecoveryMillis = Math.max(worstRecoveryMillis, recoveryMillis);
        List<String> newErrors = totals.check(readTotals(counter.port()));
        errors.addAll(newErrors);
        newErrors.forEach(error -> out.println("  " + error));
        out.printf(
            "kill %d: %d adds acknowledged, answers again after %d ms, %d names wrong%n",
            kill,
            totals.acknowledgedCount() - acknowledgedBefore,
            recoveryMillis,
            newErrors.size());
      }
    }
    long lostCount = errors.stream().filter(error -> error.startsWith("lost")).count();
    if (errors.isEmpty()) {
      TemporaryDirectories.delete(directory);
    } else {
      out.println("settings, log and snapshots of the counter: " + directory);
    }
    boolean passed = errors.isEmpty() && totals.acknowledgedCount() > 0;
    out.println(
        (passed ? "totals kept: " : "totals broken: ")
            + kills
            + " kills, "
            + totals.acknowledgedCount()
            + " acknowledged adds, "
            + lostCount
            + " lost, worst recovery "
            + worstRecoveryMillis
            + " ms");
    return passed;
  }

  /** Starts the counter; returns the milliseconds until it replies. */
  private static long start(CounterProcess counter) throws Exception {
    long startNanos = System.nanoTime();
    try {
      counter.start().get(ChildProcess.START_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("the counter did not start: " + e.getCause(), e);
    }
    try (CounterClient client = new CounterClient(counter.port())) {
      if (!"PONG".equals(client.call("PING"))) {
        throw new IOException("the counter does not answer");
      }
    }
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private List<Thread> startLoad(int port) {
    List<Thread> clientThreads = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      SplittableRandom threadRandom = random.split();
      Thread thread = new Thread(() -> addUntilDisconnected(port, threadRandom), "caller " + i);
      thread.setDaemon(true);
      thread.start();
      clientThreads.add(thread);
    }
    return clientThreads;
  }

  /** Sends adds in pipelined batches of random size until the connection breaks. */
  private void addUntilDisconnected(int port, SplittableRandom threadRandom) {
    ArrayDeque<PendingAdd> pendingAdds = new ArrayDeque<>();
    try (CounterClient client = new CounterClient(port)) {
      while (true) {
        int batchSize = 1 + threadRandom.nextInt(MAX_OUTSTANDING);
        for (int i = 0; i < batchSize; i++) {
          sendAdd(client, threadRandom, pendingAdds);
        }
        client.flush();
        while (!pendingAdds.isEmpty()) {
          Object reply = client.readReply();
          PendingAdd add = pendingAdds.poll();
          if (!(reply instanceof CounterClient.ErrorReply)) {
            totals.recordAcknowledged(add.name(), add.amount());
          }
        }
      }
    } catch (IOException e) {
      // The counter was killed; an add without a reply may have been counted or not.
    }
    pendingAdds.forEach(add -> totals.recordUnanswered(add.name(), add.amount()));
  }

  private static void sendAdd(
      CounterClient client, SplittableRandom threadRandom, ArrayDeque<PendingAdd> pendingAdds)
      throws IOException {
    String name = "quota-" + threadRandom.nextInt(NAMES);
    BigDecimal amount =
        BigDecimal.valueOf(1 + threadRandom.nextInt(1_000), threadRandom.nextInt(4) * 3);
    pendingAdds.add(
        new PendingAdd(name, amount)); // Added first, since a failed write may still arrive.
    if (amount.scale() == 0 && threadRandom.nextInt(3) == 0) {
      client.send("INCRBYFLOAT", name, amount.toPlainString());
    } else {
      client.send("FD.ADD", name, amount.toPlainString(), TIME_TO_LIVE_MILLIS);
    }
  }

  private Map<String, BigDecimal> readTotals(int port) throws IOException {
    Map<String, BigDecimal> recovered = new HashMap<>();
    try (CounterClient client = new CounterClient(port)) {
      String cursor = "0";
      do {
        List<?> page = (List<?>) client.call("SCAN", cursor);
        cursor = (String) page.get(0);
        for (Object name : (List<?>) page.get(1)) {
          Object total = client.call("GET", (String) name);
          if (total != null) {
            recovered.put((String) name, new BigDecimal((String) total));
          }
        }
      } while (!cursor.equals("0"));
    }
    return recovered;
  }
}
