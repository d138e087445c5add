package fawndock.benchmark;

import fawndock.fake.TraceRecorder;
import fawndock.scenario.CounterProcess;
import fawndock.scenario.Folders;
import fawndock.scenario.Gatekeepers;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.Http2Settings;
import io.vertx.core.http.HttpServerOptions;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * What the gateway adds: the same worker behind a bare proxy and behind one gatekeeper with its
 * counter, each in a process of its own on one event loop, in turns. First the most that each
 * passes, then latencies of both at half of what the gatekeeper passes.
 */
public final class Passthrough {
  private static final int MOST_OUT = 200;
  private static final int CONNECTIONS = 200;
  private static final double FLOOD = 1e6;
  private static final String[] JVM = {"-Xms1g", "-Xmx1g", "-XX:MaxGCPauseMillis=5"};
  private final double seconds;
  private final int turns;
  private final boolean counted;
  private final PrintStream out;

  /**
   * @param seconds of each turn
   * @param turns of each kind of measurement
   * @param counted whether the gatekeeper has a counter to ask
   */
  public Passthrough(double seconds, int turns, boolean counted, PrintStream out) {
    this.seconds = seconds;
    this.turns = turns;
    this.counted = counted;
    this.out = out;
  }

  /** Measures and prints; the last line is the result. */
  public void run() throws Exception {
    Path folder = Files.createTempDirectory("fawndock-bench");
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    // Worker and load each have a loop of their own: a shared one made every figure depend on
    // chance.
    Vertx workers = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    Process proxy = null;
    try (Gatekeepers gatekeepers = new Gatekeepers(folder, new TraceRecorder(), JVM);
        CounterProcess counter = new CounterProcess(folder, "log text level warn\n", JVM)) {
      counter.start().get(30, TimeUnit.SECONDS);
      int worker =
          workers
              .createHttpServer(
                  new HttpServerOptions()
                      .setHttp2ClearTextEnabled(true)
                      .setTcpNoDelay(true)
                      .setInitialSettings(new Http2Settings().setMaxConcurrentStreams(10_000)))
              .requestHandler(
                  r ->
                      r.response()
                          .putHeader("endpoint-load-metrics", "TEXT cpu_utilization=0.3")
                          .end("x".repeat(200)))
              .listen(0, "127.0.0.1")
              .toCompletionStage()
              .toCompletableFuture()
              .get(10, TimeUnit.SECONDS)
              .actualPort();
      int port = Gatekeepers.freePort();
      gatekeepers.settings(
          0,
          port,
          "listen 127.0.0.1:"
              + port
              + "\nclass work aim 500ms deadline 2s repeat "
              + "idempotent\nroute GET /work work\nplan free rate 1000000 store 10000000\nkey key customer one "
              + "plan free\nlimits open 20000\npool connections 2 streams 10000\nlog text level warn\n"
              + (counted ? "counter 127.0.0.1:" + counter.port() + "\n" : "")
              + "server w 127.0.0.1:"
              + worker
              + "\n");
      gatekeepers.start(0).get(30, TimeUnit.SECONDS);
      proxy = startProxy(worker);
      int bare = portOf(proxy);
      out.println("warming up both");
      for (int i = 0; i < 2; i++) {
        drive(vertx, bare, FLOOD, seconds, i);
        drive(vertx, port, FLOOD, seconds, i);
      }
      double[] most = most(vertx, bare, port);
      double[] added = added(vertx, bare, port, most[1] / 2);
      out.printf(
          "throughput ratio %.2f, added p50 %.0f us, added p99 %.0f us%n",
          most[1] / most[0], added[0], added[1]);
    } finally {
      if (proxy != null) {
        proxy.destroyForcibly();
      }
      workers.close();
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
      Folders.remove(folder);
    }
  }

  private double[] most(Vertx vertx, int bare, int port) throws InterruptedException {
    double[] ofBare = new double[turns];
    double[] ofGate = new double[turns];
    for (int i = 0; i < turns; i++) {
      OpenLoop.Run a = drive(vertx, bare, FLOOD, seconds, 10 + i);
      OpenLoop.Run b = drive(vertx, port, FLOOD, seconds, 10 + i);
      ofBare[i] = a.perSecond();
      ofGate[i] = b.perSecond();
      out.printf(
          "most a second: bare %.0f, gateway %.0f (%d and %d not served)%n",
          a.perSecond(), b.perSecond(), a.others(), b.others());
    }
    return new double[] {Median.of(ofBare), Median.of(ofGate)};
  }

  private double[] added(Vertx vertx, int bare, int port, double rate) throws InterruptedException {
    double[] p50 = new double[turns];
    double[] p99 = new double[turns];
    for (int i = 0; i < turns; i++) {
      OpenLoop.Run a = drive(vertx, bare, rate, seconds, 20 + i);
      OpenLoop.Run b = drive(vertx, port, rate, seconds, 20 + i);
      p50[i] = b.latency().getValueAtPercentile(50) - a.latency().getValueAtPercentile(50);
      p99[i] = b.latency().getValueAtPercentile(99) - a.latency().getValueAtPercentile(99);
      out.printf(
          "at %.0f a second: bare p50 %d p99 %d us, gateway p50 %d p99 %d us (%d and %d not served)%n",
          rate,
          a.latency().getValueAtPercentile(50),
          a.latency().getValueAtPercentile(99),
          b.latency().getValueAtPercentile(50),
          b.latency().getValueAtPercentile(99),
          a.others(),
          b.others());
    }
    return new double[] {Median.of(p50), Median.of(p99)};
  }

  private static OpenLoop.Run drive(Vertx vertx, int port, double rate, double seconds, long seed)
      throws InterruptedException {
    boolean flood = rate == FLOOD;
    return new OpenLoop(vertx, port, CONNECTIONS, flood ? MOST_OUT : 10_000, flood)
        .run(rate, seconds, seed);
  }

  private static Process startProxy(int worker) throws IOException {
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            JVM[0],
            JVM[2],
            JVM[1],
            "-cp",
            System.getProperty("java.class.path"),
            "fawndock.Main",
            "bench",
            "bare-proxy",
            Integer.toString(worker))
        .redirectError(ProcessBuilder.Redirect.INHERIT)
        .start();
  }

  private static int portOf(Process proxy) throws IOException {
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(proxy.getInputStream(), StandardCharsets.UTF_8));
    String line = lines.readLine();
    if (line == null || !line.matches("[0-9]+")) {
      throw new IOException("the bare proxy did not start");
    }
    return Integer.parseInt(line);
  }
}
