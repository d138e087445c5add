package fawndock.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakeCounterServer;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.ClientDisconnected;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.RequestArrived;
import fawndock.runtime.MicroClock;
import io.vertx.core.Future;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HttpServerListenerTest {
  @Test
  void requestHead_givesThePolicyCustomerClassAndDeadline() throws Exception {
    try (GatewayHarness s =
        new GatewayHarness(
            r ->
                r.response()
                    .end(
                        "ok "
                            + r.getHeader("x-api-key")
                            + " "
                            + r.getHeader("idempotency-key")
                            + " "
                            + r.version()
                            + " "
                            + r.getHeader("x-request-id")))) {
      HttpResponse<String> answer =
          s.send(
                  s.to("/update")
                      .PUT(HttpRequest.BodyPublishers.ofString("body"))
                      .header("idempotency-key", "\"abc\"")
                      .header("x-envoy-expected-rq-timeout-ms", "700")
                      .header("x-envoy-attempt-count", "2")
                      .version(HttpClient.Version.HTTP_2))
              .get(20, TimeUnit.SECONDS);
      RequestArrived r = s.policy.await(RequestArrived.class);
      assertEquals(
          "ok null \"abc\" HTTP_2 " + r.requestId(),
          answer.body(),
          "the key stays here, the idempotency key goes on");
      assertEquals(
          "update basic one true",
          r.requestClass() + " " + r.plan() + " " + r.customer() + " " + r.isRetry());
      long left = r.deadlineAtMicros() - MicroClock.systemMicros();
      assertTrue(left < 700_000, "it says " + left);
    }
  }

  @Test
  void unreadableRequest_isAnsweredAndNeverCounted() throws Exception {
    try (GatewayHarness s = new GatewayHarness(r -> r.response().end(), "sizes body 1KiB")) {
      assertEquals(
          401, s.send(s.to("/lookup").setHeader("x-api-key", "nobody's")).get().statusCode());
      assertEquals(404, s.get("/elsewhere").statusCode());
      assertEquals(404, s.get("/lookups").statusCode(), "a prefix ends where a segment ends");
      assertEquals(400, s.get("/lookup/%2e%2E/admin").statusCode());
      assertEquals(
          400,
          s.send(s.to("/lookup").header("x-envoy-expected-rq-timeout-ms", "soon"))
              .get()
              .statusCode());
      assertEquals(
          400, s.send(s.to("/update").PUT(HttpRequest.BodyPublishers.noBody())).get().statusCode());
      assertEquals(
          400,
          s.send(
                  s.to("/update")
                      .PUT(HttpRequest.BodyPublishers.noBody())
                      .header("idempotency-key", "bare"))
              .get()
              .statusCode());
      assertEquals(
          413,
          s.send(s.to("/lookup").POST(HttpRequest.BodyPublishers.ofString("x".repeat(2_000))))
              .get()
              .statusCode());
      try (Socket socket = new Socket("127.0.0.1", s.port)) {
        socket.setSoTimeout(20_000);
        socket
            .getOutputStream()
            .write(
                "GET /lookup HTTP/1.1\r\nhost: x\r\nbroken\u0000 field\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
        assertTrue(
            new String(socket.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1)
                .endsWith(" 400"));
      }
      assertEquals(0, s.policy.all(RequestArrived.class).size());
    }
  }

  @Test
  void chunkedBodyBeyondTheLimit_isAnsweredWith413() throws Exception {
    try (GatewayHarness s = new GatewayHarness(r -> r.response().end(), "sizes body 1KiB");
        Socket socket = new Socket("127.0.0.1", s.port)) {
      socket.setSoTimeout(20_000);
      socket
          .getOutputStream()
          .write(
              ("POST /lookup HTTP/1.1\r\nhost: x\r\nx-api-key: k1\r\n"
                      + "transfer-encoding: chunked\r\n\r\n800\r\n"
                      + "x".repeat(2_048)
                      + "\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
      assertTrue(
          new String(socket.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1)
              .endsWith(" 413"));
      assertEquals(0, s.policy.all(RequestArrived.class).size());
    }
  }

  @Test
  void rejection_hasRetryAfterAndRateLimitFields() throws Exception {
    try (GatewayHarness s = new GatewayHarness(r -> r.response().end())) {
      s.policy.respondWith(
          (now, e) ->
              e instanceof RequestArrived r
                  ? List.of(new RejectRequest(r.requestId(), 2_400_000))
                  : List.of());
      HttpResponse<String> answer = s.get("/lookup");
      assertEquals(429, answer.statusCode());
      assertEquals("3", answer.headers().firstValue("retry-after").orElse(""));
      assertEquals("\"basic\";q=8;w=4", answer.headers().firstValue("ratelimit-policy").orElse(""));
      assertEquals("\"basic\";r=0;t=3", answer.headers().firstValue("ratelimit").orElse(""));
    }
  }

  /**
   * A gateway that forgets a request, or fails on it, does not leave its client without an answer.
   */
  @Test
  void policyThatThrows_isBackedUpBy504AtTheDeadline() throws Exception {
    try (GatewayHarness s = new GatewayHarness(r -> r.response().end())) {
      s.policy.respondWith(
          (now, e) -> {
            if (e instanceof RequestArrived) {
              throw new IllegalStateException("a defect, for a test");
            }
            return List.of();
          });
      assertEquals(
          504,
          s.send(s.to("/lookup").header("x-envoy-expected-rq-timeout-ms", "50"))
              .get()
              .statusCode());
      s.policy.await(ClientDisconnected.class);
    }
  }

  @Test
  void disconnectDuringCounterCall_isReportedAndTheReplyStillGiven() throws Exception {
    try (FakeCounterServer counter = new FakeCounterServer().start()) {
      try (GatewayHarness s =
          new GatewayHarness(
              r -> r.response().end(),
              "counter 127.0.0.1:" + counter.port(),
              "counter-limits timeout 20s")) {
        CompletableFuture<Long> asked = new CompletableFuture<>();
        s.policy.respondWith(
            (now, e) -> {
              if (e instanceof RequestArrived r) {
                asked.complete(r.requestId());
                return List.of(new AddToCounter("n", 1, 1_000_000));
              }
              return List.of();
            });
        counter.setDelayMillis(300);
        try (Socket socket = new Socket("127.0.0.1", s.port)) {
          socket
              .getOutputStream()
              .write(
                  "GET /lookup HTTP/1.1\r\nhost: x\r\nx-api-key: k1\r\n\r\n"
                      .getBytes(StandardCharsets.ISO_8859_1));
          asked.get(20, TimeUnit.SECONDS);
        }
        assertEquals(asked.get(), s.policy.await(ClientDisconnected.class).requestId());
        assertEquals("n", s.policy.await(CounterReply.class).counterName());
        assertEquals(1, s.policy.all(CounterReply.class).size());
      }
    }
  }

  @Test
  void streamReset_countsAsDisconnect() throws Exception {
    try (GatewayHarness s = new GatewayHarness(r -> {})) {
      var client =
          s.vertx.createHttpClient(
              new HttpClientOptions()
                  .setProtocolVersion(HttpVersion.HTTP_2)
                  .setHttp2ClearTextUpgrade(false));
      var request =
          GatewayHarness.await(
              client.request(
                  new RequestOptions()
                      .setHost("127.0.0.1")
                      .setPort(s.port)
                      .setURI("/lookup")
                      .putHeader("x-api-key", "k1")));
      request.send();
      long id = s.policy.await(RequestArrived.class).requestId();
      request.reset(CallResults.CANCEL);
      assertEquals(id, s.policy.await(ClientDisconnected.class).requestId());
    }
  }

  @Test
  void tenThousandRequestsInFlight_areAllAnswered() throws Exception {
    int count = 10_000;
    List<HttpServerRequest> held = new ArrayList<>();
    try (GatewayHarness s =
        new GatewayHarness(
            r -> {
              held.add(r);
              if (held.size() == count) {
                held.forEach(each -> each.response().end());
              }
            },
            "limits open 10000 attempts 1",
            "pool connections 4 streams 5000")) {
      s.policy.respondWith(
          (now, e) ->
              e instanceof RequestArrived r
                  ? List.of(new StartAttempt(r.requestId(), "w", r.deadlineAtMicros()))
                  : ScriptedPolicy.forwardOnce(now, e));
      var client =
          s.vertx.createHttpClient(
              new HttpClientOptions()
                  .setProtocolVersion(HttpVersion.HTTP_2)
                  .setHttp2ClearTextUpgrade(false),
              new PoolOptions().setHttp2MaxSize(20));
      List<Future<Integer>> answers = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        answers.add(
            client
                .request(
                    new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost("127.0.0.1")
                        .setPort(s.port)
                        .setURI("/lookup")
                        .putHeader("x-api-key", "k1"))
                .compose(r -> r.send())
                .map(HttpClientResponse::statusCode));
      }
      GatewayHarness.await(Future.all(answers));
      assertEquals(count, answers.stream().filter(a -> a.result() == 200).count());
      assertEquals(count, s.policy.all(AttemptCompleted.class).size());
    }
  }

  @Test
  void requestBeyondTheInFlightLimit_isAnsweredWith503WithoutThePolicy() throws Exception {
    try (GatewayHarness s = new GatewayHarness(r -> {}, "limits open 1")) {
      CompletableFuture<HttpResponse<String>> first =
          s.send(s.to("/lookup").header("x-envoy-expected-rq-timeout-ms", "2000"));
      s.policy.await(RequestArrived.class);
      assertEquals(503, s.get("/lookup").statusCode());
      assertEquals(1, s.policy.all(RequestArrived.class).size());
      assertEquals(504, first.get(20, TimeUnit.SECONDS).statusCode());
    }
  }

  @Test
  void draining_answersRequestsInFlightAndRefusesConnections() throws Exception {
    CompletableFuture<HttpServerRequest> held = new CompletableFuture<>();
    GatewayHarness s = new GatewayHarness(held::complete, "stop 30s");
    CompletableFuture<HttpResponse<String>> open = s.send(s.to("/lookup"));
    HttpServerRequest request = held.get(20, TimeUnit.SECONDS);
    var stopped = s.server.stop();
    CompletableFuture<Boolean> refused =
        CompletableFuture.supplyAsync(
            () -> {
              while (true) {
                try (Socket socket = new Socket("127.0.0.1", s.port)) {
                  Thread.onSpinWait();
                } catch (java.io.IOException e) {
                  return true;
                }
              }
            });
    assertTrue(refused.get(20, TimeUnit.SECONDS));
    assertTrue(!stopped.isComplete(), "it waits for the open request");
    request.response().end("kept");
    assertEquals("kept", open.get(20, TimeUnit.SECONDS).body());
    GatewayHarness.await(stopped);
    s.close();
  }
}
