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
    List<RequestTrace.Read> traces = new ArrayList<>();
    for (LoadPlan.TraceReplay each : plan.traces()) {
      try (java.io.BufferedReader from = Files.newBufferedReader(each.file())) {
        traces.add(RequestTrace.read(from, "trace"));
      }
    }
    return new LoadGenerator(vertx, plan, traces, p -> {}, t -> {}).run().get(60, TimeUnit.SECONDS);
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
   * While the target stands still, what is due goes on; a closed loop beside it asks once, and
   * hides the others.
   */
  @Test
  void aStalledTargetHidesNothing() throws Exception {
    List<HttpServerRequest> held = new ArrayList<>();
    List<Long> arrived = new ArrayList<>();
    int[] closed = {0, 0};
    long[] released = {0};
    int port =
        serve(
            request -> {
              if (request.path().equals("/closed")) {
                closed[0]++;
              } else if (released[0] == 0) {
                arrived.add(System.nanoTime() / 1_000);
              }
              if (released[0] > 0) {
                request.response().end();
                return;
              }
              held.add(request);
              if (arrived.size() == 150) {
                released[0] = System.nanoTime() / 1_000;
                closed[1] = closed[0];
                held.forEach(each -> each.response().end());
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
    assertEquals(1, closed[1], "asked by the closed loop while the target stood still");
    assertEquals(open.due, open.latency.getTotalCount());
    assertEquals(open.due, open.good());
    for (int i = 0;
        i < arrived.size();
        i++) { // The i-th longest is at least as long as the target held the i-th.
      long at = open.latency.getValueAtPercentile(100.0 * (open.due - i - 0.5) / open.due);
      assertTrue(
          1.002 * at >= released[0] - arrived.get(i),
          i + ": " + at + " us, held " + (released[0] - arrived.get(i)));
    }
    assertTrue(all.get(1).good() > 1);
  }

  /** The run begins when the time for the warm-up is over, and may end before its last request. */
  @Test
  void warmUpThatTakesTooLong_endsWithTheRunWithoutAnError() throws Exception {
    Vertx oneLoop = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    List<Throwable> unhandled = new CopyOnWriteArrayList<>();
    oneLoop.exceptionHandler(unhandled::add);
    try {
      LoadGenerator generator =
          new LoadGenerator(
              oneLoop, plan(1, "flow any GET / rate 1"), List.of(), progress -> {}, all -> {});
      var done = generator.run();
      generator.stop(); // The run ends as soon as it has begun.
      oneLoop.runOnContext(v -> holdUp(LoadGenerator.WARM_MILLIS + 100));
      done.get(20, TimeUnit.SECONDS);
    } finally {
      oneLoop.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }
    assertEquals(List.of(), unhandled);
  }

  private static void holdUp(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void clientsLeaveATargetThatNeverReads() throws Exception {
    try (ServerSocket deaf = new ServerSocket(0)) {
      FlowStatistics tally =
          run(
                  deaf.getLocalPort(),
                  "for 300ms",
                  "connections 8",
                  "flow f POST /x rate 100 arrivals even body 4194304 give-up 50ms")
              .get(0);
      assertEquals(30.0, (double) tally.due, 1);
      assertEquals(tally.due, tally.left);
      assertEquals(tally.due, tally.latency.getTotalCount());
      assertTrue(tally.latency.getMinValue() >= 49_000, "they waited as long as they do");
    }
  }

  @Test
  void refusedConnectionsAreTriedAsOftenAsTheClientsDo() throws Exception {
    int closed;
    try (ServerSocket free = new ServerSocket(0)) {
      closed = free.getLocalPort();
    }
    FlowStatistics tally =
        run(closed, "for 200ms", "flow f GET /x rate 100 arrivals even retry at-once tries 3")
            .get(0);
    assertEquals(3 * (tally.due - tally.retries), tally.due);
    assertEquals(tally.due, tally.failed);
    assertTrue(tally.due >= 3 * 18);
  }

  @Test
  void whatIsNotSentMakesTheRunUnusable() throws Exception {
    try (ServerSocket deaf = new ServerSocket(0)) {
      FlowStatistics tally =
          run(
                  deaf.getLocalPort(),
                  "for 200ms",
                  "outstanding 5",
                  "flow f GET /x rate 1000 give-up 1s")
              .get(0);
      assertEquals(5, tally.left);
      assertEquals(tally.due - 5, tally.unsent);
      assertTrue(tally.unusable());
    }
    int[] first = {0};
    int port = serve(request -> request.response().end());
    LoadPlan plan = plan(port, "for 1s", "slack 1ms", "interval 100ms", "flow f GET /x rate 500");
    FlowStatistics late =
        new LoadGenerator(
                vertx,
                plan,
                List.of(),
                p -> {
                  if (first[0]++ == 0) {
                    try {
                      Thread.sleep(200); // The generator's own thread is held up.
                    } catch (InterruptedException e) {
                      Thread.currentThread().interrupt();
                    }
                  }
                },
                t -> {})
            .run()
            .get(60, TimeUnit.SECONDS)
            .get(0);
    assertEquals(0, late.unsent);
    assertTrue(late.late > 50 && late.unusable(), "late " + late.late + " of " + late.due);
  }

  @Test
  void aTraceIsPlayedWithItsKeysAndItsRetries() throws Exception {
    Files.writeString(
        directory.resolve("t.csv"), "at,method,path,key\n5.0,PUT,/a,k1\n5.0,GET,/b,k2\n");
    List<String> seen = new ArrayList<>();
    int port =
        serve(
            request -> {
              seen.add(
                  request.method() + " " + request.path() + " " + request.getHeader("x-api-key"));
              request
                  .response()
                  .setStatusCode(seen.size() == 1 ? 429 : 200)
                  .putHeader("retry-after", "0")
                  .end();
            });
    FlowStatistics tally =
        run(
                port,
                "connections 1",
                "trace t t.csv speed 10 key c- retry after wait 1ms retry-after yes")
            .get(0);
    assertEquals(List.of("PUT /a c-k1", "GET /b c-k2", "PUT /a c-k1"), seen);
    assertEquals(1, tally.retries);
    assertEquals(1, tally.status(429));
    assertFalse(tally.unusable() && tally.unsent > 0);
  }

  @Test
  void allMistakesAreToldAtOnce() {
    String told =
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
    for (String each :
        List.of(
            ":2: method 'get'",
            ":2: shape 'round', expected constant or wave or jump or on-off",
            ":3: flow g has no rate",
            ":3: path 'x'",
            ":4: protocol 'h3'",
            ":5: no trace")) {
      assertTrue(told.contains(each), each + " in " + told);
    }
  }
}
