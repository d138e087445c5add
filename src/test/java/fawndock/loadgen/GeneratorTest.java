package fawndock.loadgen;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.settings.ConfigurationException;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerRequest;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the load generator against local HTTP servers. */
class GeneratorTest {
  @TempDir private Path directory;
  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void stop() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  private LoadPlan plan(int port, String... lines) throws Exception {
    Path file = directory.resolve("load.conf");
    Files.writeString(file, "target 127.0.0.1:" + port + "\n" + String.join("\n", lines) + "\n");
    return LoadFile.read(file);
  }

  private List<FlowStatistics> run(int port, String... lines) throws Exception {
    LoadPlan plan = plan(port, lines);
    List<RequestTrace.ParsedTrace> traces = new ArrayList<>();
    for (LoadPlan.TraceReplay replay : plan.traces()) {
      try (java.io.BufferedReader reader = Files.newBufferedReader(replay.file())) {
        traces.add(RequestTrace.read(reader, "trace"));
      }
    }
    return new LoadGenerator(vertx, plan, traces, progress -> {}, statistics -> {})
        .run()
        .get(60, TimeUnit.SECONDS);
  }

  private int serve(io.vertx.core.Handler<HttpServerRequest> handler) throws Exception {
    return vertx
        .createHttpServer()
        .requestHandler(handler)
        .listen(0, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .get(20, TimeUnit.SECONDS)
        .actualPort();
  }

  /**
   * While the target is stalled, the open-loop flow keeps sending, and its latencies include the
   * stall. The closed-loop flow sends one request during the stall, so its latencies would hide the
   * stall of the others.
   */
  @Test
  void stalledTarget_isVisibleInTheLatenciesOfTheOpenLoop() throws Exception {
    List<HttpServerRequest> heldRequests = new ArrayList<>();
    List<Long> arrivalMicros = new ArrayList<>();
    int[] closedLoopRequests = {0, 0};
    long[] releaseMicros = {0};
    int port =
        serve(
            request -> {
              if (request.path().equals("/closed")) {
                closedLoopRequests[0]++;
              } else if (releaseMicros[0] == 0) {
                arrivalMicros.add(System.nanoTime() / 1_000);
              }
              if (releaseMicros[0] > 0) {
                request.response().end();
                return;
              }
              heldRequests.add(request);
              if (arrivalMicros.size() == 150) {
                releaseMicros[0] = System.nanoTime() / 1_000;
                closedLoopRequests[1] = closedLoopRequests[0];
                heldRequests.forEach(held -> held.response().end());
              }
            });
    List<FlowStatistics> all =
        run(
            port,
            "for 2s",
            "seed 5",
            "flow open GET /open rate 200",
            "flow closed GET /closed clients 1");
    FlowStatistics open = all.get(0);
    assertEquals(
        1, closedLoopRequests[1], "requests of the closed loop while the target is stalled");
    assertEquals(open.due, open.latency.getTotalCount());
    assertEquals(open.due, open.good());
    for (int i = 0;
        i < arrivalMicros.size();
        i++) { // The i-th longest latency is at least as long as the target held the i-th request.
      long latencyMicros =
          open.latency.getValueAtPercentile(100.0 * (open.due - i - 0.5) / open.due);
      assertTrue(
          1.002 * latencyMicros >= releaseMicros[0] - arrivalMicros.get(i),
          i + ": " + latencyMicros + " us, held " + (releaseMicros[0] - arrivalMicros.get(i)));
    }
    assertTrue(all.get(1).good() > 1);
  }

  /**
   * The run starts when the warm-up times out, and may then end before the last warm-up request.
   * Ending the run closes the HTTP clients that the warm-up still uses, which must cause no error.
   */
  @Test
  void warmUpThatTimesOut_endsWithTheRunWithoutAnError() throws Exception {
    Vertx oneLoop = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    List<Throwable> unhandled = new CopyOnWriteArrayList<>();
    oneLoop.exceptionHandler(unhandled::add);
    try {
      LoadGenerator generator =
          new LoadGenerator(
              oneLoop, plan(1, "flow any GET / rate 1"), List.of(), progress -> {}, all -> {});
      var done = generator.run();
      generator.stop(); // The run ends as soon as it has started.
      oneLoop.runOnContext(v -> blockThread(LoadGenerator.WARM_UP_TIMEOUT_MILLIS + 100));
      done.get(20, TimeUnit.SECONDS);
    } finally {
      oneLoop.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }
    assertEquals(List.of(), unhandled);
  }

  private static void blockThread(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void unresponsiveTarget_isAbandonedAfterGiveUp() throws Exception {
    try (ServerSocket unresponsive = new ServerSocket(0)) {
      FlowStatistics statistics =
          run(
                  unresponsive.getLocalPort(),
                  "for 300ms",
                  "connections 8",
                  "flow f POST /x rate 100 arrivals even body 4194304 give-up 50ms")
              .get(0);
      assertEquals(30.0, (double) statistics.due, 1);
      assertEquals(statistics.due, statistics.abandoned);
      assertEquals(statistics.due, statistics.latency.getTotalCount());
      assertTrue(
          statistics.latency.getMinValue() >= 49_000, "the clients waited until they gave up");
    }
  }

  @Test
  void refusedConnections_areRetriedUpToMaxAttempts() throws Exception {
    int closedPort;
    try (ServerSocket free = new ServerSocket(0)) {
      closedPort = free.getLocalPort();
    }
    FlowStatistics statistics =
        run(closedPort, "for 200ms", "flow f GET /x rate 100 arrivals even retry at-once tries 3")
            .get(0);
    assertEquals(3 * (statistics.due - statistics.retries), statistics.due);
    assertEquals(statistics.due, statistics.failed);
    assertTrue(statistics.due >= 3 * 18);
  }

  @Test
  void unsentAndLateRequests_makeTheRunUnusable() throws Exception {
    try (ServerSocket unresponsive = new ServerSocket(0)) {
      FlowStatistics statistics =
          run(
                  unresponsive.getLocalPort(),
                  "for 200ms",
                  "outstanding 5",
                  "flow f GET /x rate 1000 give-up 1s")
              .get(0);
      assertEquals(5, statistics.abandoned);
      assertEquals(statistics.due - 5, statistics.notSent);
      assertTrue(statistics.isUnusable());
    }
    int[] intervalCount = {0};
    int port = serve(request -> request.response().end());
    LoadPlan plan = plan(port, "for 1s", "slack 1ms", "interval 100ms", "flow f GET /x rate 500");
    FlowStatistics lateStatistics =
        new LoadGenerator(
                vertx,
                plan,
                List.of(),
                progress -> {
                  if (intervalCount[0]++ == 0) {
                    try {
                      Thread.sleep(200); // Blocks the generator's event loop.
                    } catch (InterruptedException e) {
                      Thread.currentThread().interrupt();
                    }
                  }
                },
                statistics -> {})
            .run()
            .get(60, TimeUnit.SECONDS)
            .get(0);
    assertEquals(0, lateStatistics.notSent);
    assertTrue(
        lateStatistics.sentLate > 50 && lateStatistics.isUnusable(),
        "late " + lateStatistics.sentLate + " of " + lateStatistics.due);
  }

  @Test
  void trace_isReplayedWithKeysAndRetries() throws Exception {
    Files.writeString(
        directory.resolve("t.csv"), "at,method,path,key\n5.0,PUT,/a,k1\n5.0,GET,/b,k2\n");
    List<String> receivedRequests = new ArrayList<>();
    int port =
        serve(
            request -> {
              receivedRequests.add(
                  request.method() + " " + request.path() + " " + request.getHeader("x-api-key"));
              request
                  .response()
                  .setStatusCode(receivedRequests.size() == 1 ? 429 : 200)
                  .putHeader("retry-after", "0")
                  .end();
            });
    FlowStatistics statistics =
        run(
                port,
                "connections 1",
                "trace t t.csv speed 10 key c- retry after wait 1ms retry-after yes")
            .get(0);
    assertEquals(List.of("PUT /a c-k1", "GET /b c-k2", "PUT /a c-k1"), receivedRequests);
    assertEquals(1, statistics.retries);
    assertEquals(1, statistics.status(429));
    assertFalse(statistics.isUnusable() && statistics.notSent > 0);
  }

  @Test
  void allErrors_areReportedTogether() {
    String message =
        assertThrows(
                ConfigurationException.class,
                () ->
                    plan(
                        1,
                        "flow f get /x rate 5 shape round",
                        "flow g GET x",
                        "protocol h3",
                        "trace t missing.csv"))
            .getMessage();
    for (String expected :
        List.of(
            ":2: method 'get'",
            ":2: shape 'round', expected constant or wave or jump or on-off",
            ":3: flow g has no rate",
            ":3: path 'x'",
            ":4: protocol 'h3'",
            ":5: no trace")) {
      assertTrue(message.contains(expected), expected + " in " + message);
    }
  }
}
