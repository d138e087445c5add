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
 * Benchmark of the gateway's overhead. In alternating turns it puts the same backend behind a bare
 * proxy and behind one gateway with its counter, each in its own process on one event loop. It
 * first measures the throughput of both, then their latencies at half the gateway's throughput.
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
   * @param hasCounter whether the gateway uses a counter service
   */
  public PassthroughBench(double seconds, int turns, boolean hasCounter, PrintStream out) {
    this.seconds = seconds;
    this.turns = turns;
    this.hasCounter = hasCounter;
    this.out = out;
  }

  /** Runs the benchmark and prints the results; the last line is the summary. */
  public void run() throws Exception {
    Path directory = Files.createTempDirectory("fawndock-bench");
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    // Backend and load have separate event loops: with a shared loop the results varied at random.
    Vertx backendVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    Process proxy = null;
    try (GatewayProcesses gateways = new GatewayProcesses(directory, new TraceRecorder(), JVM);
        CounterProcess counter = new CounterProcess(directory, "log text level warn\n", JVM)) {
      counter.start().get(30, TimeUnit.SECONDS);
      int backendPort =
          backendVertx
              .createHttpServer(
                  new HttpServerOptions()
                      .setHttp2ClearTextEnabled(true)
                      .setTcpNoDelay(true)
                      .setInitialSettings(new Http2Settings().setMaxConcurrentStreams(10_000)))
              .requestHandler(
                  request ->
                      request
                          .response()
                          .putHeader("endpoint-load-metrics", "TEXT cpu_utilization=0.3")
                          .end("x".repeat(200)))
              .listen(0, "127.0.0.1")
              .toCompletionStage()
              .toCompletableFuture()
              .get(10, TimeUnit.SECONDS)
              .actualPort();
      int gatewayPort = GatewayProcesses.freePort();
      gateways.writeSettings(
          0,
          gatewayPort,
          "listen 127.0.0.1:"
              + gatewayPort
              + "\nclass work aim 500ms deadline 2s repeat "
              + "idempotent\nroute GET /work work\nplan free rate 1000000 store 10000000\nkey key customer one "
              + "plan free\nlimits open 20000\npool connections 2 streams 10000\nlog text level warn\n"
              + (hasCounter ? "counter 127.0.0.1:" + counter.port() + "\n" : "")
              + "server w 127.0.0.1:"
              + backendPort
              + "\n");
      gateways.start(0).get(30, TimeUnit.SECONDS);
      proxy = startProxy(backendPort);
      int barePort = readPort(proxy);
      out.println("warming up both");
      for (int i = 0; i < 2; i++) {
        runLoad(vertx, barePort, FLOOD_REQUESTS_PER_SECOND, seconds, i);
        runLoad(vertx, gatewayPort, FLOOD_REQUESTS_PER_SECOND, seconds, i);
      }
      double[] throughput = measureThroughput(vertx, barePort, gatewayPort);
      double[] addedMicros = measureAddedLatency(vertx, barePort, gatewayPort, throughput[1] / 2);
      out.printf(
          "throughput ratio %.2f, added p50 %.0f us, added p99 %.0f us%n",
          throughput[1] / throughput[0], addedMicros[0], addedMicros[1]);
    } finally {
      if (proxy != null) {
        proxy.destroyForcibly();
      }
      backendVertx.close();
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
      TemporaryDirectories.delete(directory);
    }
  }

  private double[] measureThroughput(Vertx vertx, int barePort, int gatewayPort)
      throws InterruptedException {
    double[] bareRates = new double[turns];
    double[] gatewayRates = new double[turns];
    for (int i = 0; i < turns; i++) {
      OpenLoopHttpLoad.LoadResult bareResult =
          runLoad(vertx, barePort, FLOOD_REQUESTS_PER_SECOND, seconds, 10 + i);
      OpenLoopHttpLoad.LoadResult gatewayResult =
          runLoad(vertx, gatewayPort, FLOOD_REQUESTS_PER_SECOND, seconds, 10 + i);
      bareRates[i] = bareResult.perSecond();
      gatewayRates[i] = gatewayResult.perSecond();
      out.printf(
          "most a second: bare %.0f, gateway %.0f (%d and %d not served)%n",
          bareResult.perSecond(),
          gatewayResult.perSecond(),
          bareResult.notServed(),
          gatewayResult.notServed());
    }
    return new double[] {MedianStatistics.of(bareRates), MedianStatistics.of(gatewayRates)};
  }

  private double[] measureAddedLatency(Vertx vertx, int barePort, int gatewayPort, double rate)
      throws InterruptedException {
    double[] p50 = new double[turns];
    double[] p99 = new double[turns];
    for (int i = 0; i < turns; i++) {
      OpenLoopHttpLoad.LoadResult bareResult = runLoad(vertx, barePort, rate, seconds, 20 + i);
      OpenLoopHttpLoad.LoadResult gatewayResult =
          runLoad(vertx, gatewayPort, rate, seconds, 20 + i);
      p50[i] =
          gatewayResult.latency().getValueAtPercentile(50)
              - bareResult.latency().getValueAtPercentile(50);
      p99[i] =
          gatewayResult.latency().getValueAtPercentile(99)
              - bareResult.latency().getValueAtPercentile(99);
      out.printf(
          "at %.0f a second: bare p50 %d p99 %d us, gateway p50 %d p99 %d us (%d and %d not served)%n",
          rate,
          bareResult.latency().getValueAtPercentile(50),
          bareResult.latency().getValueAtPercentile(99),
          gatewayResult.latency().getValueAtPercentile(50),
          gatewayResult.latency().getValueAtPercentile(99),
          bareResult.notServed(),
          gatewayResult.notServed());
    }
    return new double[] {MedianStatistics.of(p50), MedianStatistics.of(p99)};
  }

  private static OpenLoopHttpLoad.LoadResult runLoad(
      Vertx vertx, int port, double rate, double seconds, long seed) throws InterruptedException {
    boolean isFlood = rate == FLOOD_REQUESTS_PER_SECOND;
    return new OpenLoopHttpLoad(vertx, port, CONNECTIONS, isFlood ? MAX_IN_FLIGHT : 10_000, isFlood)
        .run(rate, seconds, seed);
  }

  private static Process startProxy(int backendPort) throws IOException {
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
            Integer.toString(backendPort))
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
