package fawndock.benchmark;

import fawndock.fake.TraceRecorder;
import fawndock.scenario.CounterProcess;
import fawndock.scenario.GatewayProcesses;
import fawndock.scenario.TemporaryDirectories;
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
 * What the gateway adds: the same backend behind a bare proxy and behind one gateway with its
 * counter, each in a process of its own on one event loop, in turns. First the most that each
 * passes, then latencies of both at half of what the gateway passes.
 */
public final class PassthroughBench {
  private static final int MAX_IN_FLIGHT = 200;
  private static final int CONNECTIONS = 200;
  private static final double FLOOD_REQUESTS_PER_SECOND = 1e6;
  private static final String[] JVM = {"-Xms1g", "-Xmx1g", "-XX:MaxGCPauseMillis=5"};
  private final double seconds;
  private final int turns;
  private final boolean hasCounter;
  private final PrintStream out;

  /**
   * @param seconds of each turn
   * @param turns of each kind of measurement
   * @param counted whether the gateway has a counter to ask
   */
  public PassthroughBench(double seconds, int turns, boolean counted, PrintStream out) {
    this.seconds = seconds;
    this.turns = turns;
    this.hasCounter = counted;
    this.out = out;
  }

  /** Measures and prints; the last line is the result. */
  public void run() throws Exception {
    Path folder = Files.createTempDirectory("fawndock-bench");
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    // Backend and load each have a loop of their own: a shared one made every figure depend on
    // chance.
    Vertx workers = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    Process proxy = null;
    try (GatewayProcesses gateways = new GatewayProcesses(folder, new TraceRecorder(), JVM);
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
      int port = GatewayProcesses.freePort();
      gateways.writeSettings(
          0,
          port,
          "listen 127.0.0.1:"
              + port
              + "\nclass work aim 500ms deadline 2s repeat "
              + "idempotent\nroute GET /work work\nplan free rate 1000000 store 10000000\nkey key customer one "
              + "plan free\nlimits open 20000\npool connections 2 streams 10000\nlog text level warn\n"
              + (hasCounter ? "counter 127.0.0.1:" + counter.port() + "\n" : "")
              + "server w 127.0.0.1:"
              + worker
              + "\n");
      gateways.start(0).get(30, TimeUnit.SECONDS);
      proxy = startProxy(worker);
      int bare = readPort(proxy);
      out.println("warming up both");
      for (int i = 0; i < 2; i++) {
        runLoad(vertx, bare, FLOOD_REQUESTS_PER_SECOND, seconds, i);
        runLoad(vertx, port, FLOOD_REQUESTS_PER_SECOND, seconds, i);
      }
      double[] most = measureThroughput(vertx, bare, port);
      double[] added = measureAddedLatency(vertx, bare, port, most[1] / 2);
      out.printf(
          "throughput ratio %.2f, added p50 %.0f us, added p99 %.0f us%n",
          most[1] / most[0], added[0], added[1]);
    } finally {
      if (proxy != null) {
        proxy.destroyForcibly();
      }
      workers.close();
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
      TemporaryDirectories.delete(folder);
    }
  }

  private double[] measureThroughput(Vertx vertx, int bare, int port) throws InterruptedException {
    double[] ofBare = new double[turns];
    double[] ofGate = new double[turns];
    for (int i = 0; i < turns; i++) {
      OpenLoopHttpLoad.LoadResult a =
          runLoad(vertx, bare, FLOOD_REQUESTS_PER_SECOND, seconds, 10 + i);
      OpenLoopHttpLoad.LoadResult b =
          runLoad(vertx, port, FLOOD_REQUESTS_PER_SECOND, seconds, 10 + i);
      ofBare[i] = a.perSecond();
      ofGate[i] = b.perSecond();
      out.printf(
          "most a second: bare %.0f, gateway %.0f (%d and %d not served)%n",
          a.perSecond(), b.perSecond(), a.notServed(), b.notServed());
    }
    return new double[] {MedianStatistics.of(ofBare), MedianStatistics.of(ofGate)};
  }

  private double[] measureAddedLatency(Vertx vertx, int bare, int port, double rate)
      throws InterruptedException {
    double[] p50 = new double[turns];
    double[] p99 = new double[turns];
    for (int i = 0; i < turns; i++) {
      OpenLoopHttpLoad.LoadResult a = runLoad(vertx, bare, rate, seconds, 20 + i);
      OpenLoopHttpLoad.LoadResult b = runLoad(vertx, port, rate, seconds, 20 + i);
      p50[i] = b.latency().getValueAtPercentile(50) - a.latency().getValueAtPercentile(50);
      p99[i] = b.latency().getValueAtPercentile(99) - a.latency().getValueAtPercentile(99);
      out.printf(
          "at %.0f a second: bare p50 %d p99 %d us, gateway p50 %d p99 %d us (%d and %d not served)%n",
          rate,
          a.latency().getValueAtPercentile(50),
          a.latency().getValueAtPercentile(99),
          b.latency().getValueAtPercentile(50),
          b.latency().getValueAtPercentile(99),
          a.notServed(),
          b.notServed());
    }
    return new double[] {MedianStatistics.of(p50), MedianStatistics.of(p99)};
  }

  private static OpenLoopHttpLoad.LoadResult runLoad(
      Vertx vertx, int port, double rate, double seconds, long seed) throws InterruptedException {
    boolean flood = rate == FLOOD_REQUESTS_PER_SECOND;
    return new OpenLoopHttpLoad(vertx, port, CONNECTIONS, flood ? MAX_IN_FLIGHT : 10_000, flood)
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

  private static int readPort(Process proxy) throws IOException {
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(proxy.getInputStream(), StandardCharsets.UTF_8));
    String line = lines.readLine();
    if (line == null || !line.matches("[0-9]+")) {
      throw new IOException("the bare proxy did not start");
    }
    return Integer.parseInt(line);
  }
}
