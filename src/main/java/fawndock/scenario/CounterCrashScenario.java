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
 * The counter service under load from several connections, killed outright at random moments and
 * started again: every recovered total is held against what the sockets acknowledged.
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
   * @param kills from 1
   */
  public CounterCrashScenario(int kills, long seed, PrintStream out) {
    this.kills = kills;
    this.random = new SplittableRandom(seed);
    this.out = out;
  }

  private record PendingAdd(String name, BigDecimal amount) {}

  /** Plays it, prints the verdict last; returns whether nothing was lost. */
  public boolean run() throws Exception {
    Path folder = Files.createTempDirectory("fawndock-counter");
    List<String> wrong = new ArrayList<>();
    long worst = 0;
    try (CounterProcess counter =
        new CounterProcess(
            folder, SETTINGS, "-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")) {
      start(counter);
      for (int kill = 1; kill <= kills; kill++) {
        long before = totals.acknowledgedCount();
        List<Thread> callers = startLoad(counter.port());
        Thread.sleep(300 + random.nextInt(900));
        counter.kill();
        for (Thread each : callers) {
          each.join(TimeUnit.SECONDS.toMillis(ChildProcess.START_SECONDS));
        }
        long took = start(counter);
        worst = Math.max(worst, took);
        List<String> found = totals.check(readTotals(counter.port()));
        wrong.addAll(found);
        found.forEach(w -> out.println("  " + w));
        out.printf(
            "kill %d: %d adds acknowledged, answers again after %d ms, %d names wrong%n",
            kill, totals.acknowledgedCount() - before, took, found.size());
      }
    }
    long lost = wrong.stream().filter(w -> w.startsWith("lost")).count();
    if (wrong.isEmpty()) {
      TemporaryDirectories.delete(folder);
    } else {
      out.println("settings, log and snapshots of the counter: " + folder);
    }
    boolean kept = wrong.isEmpty() && totals.acknowledgedCount() > 0;
    out.println(
        (kept ? "totals kept: " : "totals broken: ")
            + kills
            + " kills, "
            + totals.acknowledgedCount()
            + " acknowledged adds, "
            + lost
            + " lost, worst recovery "
            + worst
            + " ms");
    return kept;
  }

  /** Starts the counter; returns the milliseconds until it answers. */
  private static long start(CounterProcess counter) throws Exception {
    long begun = System.nanoTime();
    try {
      counter.start().get(ChildProcess.START_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("the counter did not start: " + e.getCause(), e);
    }
    try (CounterClient caller = new CounterClient(counter.port())) {
      if (!"PONG".equals(caller.call("PING"))) {
        throw new IOException("the counter does not answer");
      }
    }
    return (System.nanoTime() - begun) / 1_000_000;
  }

  private List<Thread> startLoad(int port) {
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      SplittableRandom own = random.split();
      Thread caller = new Thread(() -> addUntilDisconnected(port, own), "caller " + i);
      caller.setDaemon(true);
      caller.start();
      callers.add(caller);
    }
    return callers;
  }

  /** Adds until the connection breaks, with a random number of calls out at once. */
  private void addUntilDisconnected(int port, SplittableRandom own) {
    ArrayDeque<PendingAdd> sent = new ArrayDeque<>();
    try (CounterClient caller = new CounterClient(port)) {
      while (true) {
        int many = 1 + own.nextInt(MAX_OUTSTANDING);
        for (int i = 0; i < many; i++) {
          sendAdd(caller, own, sent);
        }
        caller.flush();
        while (!sent.isEmpty()) {
          Object answer = caller.readReply();
          PendingAdd add = sent.poll();
          if (!(answer instanceof CounterClient.ErrorReply)) {
            totals.recordAcknowledged(add.name(), add.amount());
          }
        }
      }
    } catch (IOException e) {
      // Killed; what has no answer may or may not count.
    }
    sent.forEach(s -> totals.recordUnanswered(s.name(), s.amount()));
  }

  private static void sendAdd(
      CounterClient caller, SplittableRandom own, ArrayDeque<PendingAdd> sent) throws IOException {
    String name = "quota-" + own.nextInt(NAMES);
    BigDecimal amount = BigDecimal.valueOf(1 + own.nextInt(1_000), own.nextInt(4) * 3);
    sent.add(
        new PendingAdd(name, amount)); // Before it is sent: a write that fails may have gone out.
    if (amount.scale() == 0 && own.nextInt(3) == 0) {
      caller.send("INCRBYFLOAT", name, amount.toPlainString());
    } else {
      caller.send("FD.ADD", name, amount.toPlainString(), TIME_TO_LIVE_MILLIS);
    }
  }

  private Map<String, BigDecimal> readTotals(int port) throws IOException {
    Map<String, BigDecimal> found = new HashMap<>();
    try (CounterClient caller = new CounterClient(port)) {
      String cursor = "0";
      do {
        List<?> page = (List<?>) caller.call("SCAN", cursor);
        cursor = (String) page.get(0);
        for (Object name : (List<?>) page.get(1)) {
          Object total = caller.call("GET", (String) name);
          if (total != null) {
            found.put((String) name, new BigDecimal((String) total));
          }
        }
      } while (!cursor.equals("0"));
    }
    return found;
  }
}
