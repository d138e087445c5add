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

/** Tests the handling of client requests and connections over sockets. */
class HttpServerListenerTest {
  @Test
  void requestHead_determinesCustomerClassAndDeadline() throws Exception {
    try (GatewayHarness gateway =
        new GatewayHarness(
            request ->
                request
                    .response()
                    .end(
                        "ok "
                            + request.getHeader("x-api-key")
                            + " "
                            + request.getHeader("idempotency-key")
                            + " "
                            + request.version()
                            + " "
                            + request.getHeader("x-request-id")))) {
      HttpResponse<String> response =
          gateway
              .send(
                  gateway
                      .requestTo("/update")
                      .PUT(HttpRequest.BodyPublishers.ofString("body"))
                      .header("idempotency-key", "\"abc\"")
                      .header("x-envoy-expected-rq-timeout-ms", "700")
                      .header("x-envoy-attempt-count", "2")
                      .version(HttpClient.Version.HTTP_2))
              .get(20, TimeUnit.SECONDS);
      RequestArrived arrived = gateway.policy.await(RequestArrived.class);
      assertEquals(
          "ok null \"abc\" HTTP_2 " + arrived.requestId(),
          response.body(),
          "the API key is not forwarded, the idempotency key is");
      assertEquals(
          "update basic one true",
          arrived.requestClass()
              + " "
              + arrived.plan()
              + " "
              + arrived.customer()
              + " "
              + arrived.isRetry());
      long remainingMicros = arrived.deadlineAtMicros() - MicroClock.systemMicros();
      assertTrue(remainingMicros < 700_000, "remaining microseconds: " + remainingMicros);
    }
  }

  @Test
  void invalidRequest_isRejectedWithoutThePolicy() throws Exception {
    try (GatewayHarness gateway =
        new GatewayHarness(request -> request.response().end(), "sizes body 1KiB")) {
      assertEquals(
          401,
          gateway
              .send(gateway.requestTo("/lookup").setHeader("x-api-key", "nobody's"))
              .get()
              .statusCode());
      assertEquals(404, gateway.get("/elsewhere").statusCode());
      assertEquals(
          404,
          gateway.get("/lookups").statusCode(),
          "a route prefix matches whole path segments only");
      assertEquals(400, gateway.get("/lookup/%2e%2E/admin").statusCode());
      assertEquals(
          400,
          gateway
              .send(gateway.requestTo("/lookup").header("x-envoy-expected-rq-timeout-ms", "soon"))
              .get()
              .statusCode());
      assertEquals(
          400,
          gateway
              .send(gateway.requestTo("/update").PUT(HttpRequest.BodyPublishers.noBody()))
              .get()
              .statusCode());
      assertEquals(
          400,
          gateway
              .send(
                  gateway
                      .requestTo("/update")
                      .PUT(HttpRequest.BodyPublishers.noBody())
                      .header("idempotency-key", "bare"))
              .get()
              .statusCode());
      assertEquals(
          413,
          gateway
              .send(
                  gateway
                      .requestTo("/lookup")
                      .POST(HttpRequest.BodyPublishers.ofString("x".repeat(2_000))))
              .get()
              .statusCode());
      try (Socket socket = new Socket("127.0.0.1", gateway.port)) {
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
      assertEquals(0, gateway.policy.eventsOf(RequestArrived.class).size());
    }
  }

  @Test
  void chunkedBodyAboveTheLimit_isRejectedWith413() throws Exception {
    try (GatewayHarness gateway =
            new GatewayHarness(request -> request.response().end(), "sizes body 1KiB");
        Socket socket = new Socket("127.0.0.1", gateway.port)) {
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
      assertEquals(0, gateway.policy.eventsOf(RequestArrived.class).size());
    }
  }

  @Test
  void rejection_hasRetryAfterAndRateLimitFields() throws Exception {
    try (GatewayHarness gateway = new GatewayHarness(request -> request.response().end())) {
      gateway.policy.respondWith(
          (nowMicros, event) ->
              event instanceof RequestArrived arrived
                  ? List.of(new RejectRequest(arrived.requestId(), 2_400_000))
                  : List.of());
      HttpResponse<String> response = gateway.get("/lookup");
      assertEquals(429, response.statusCode());
      assertEquals("3", response.headers().firstValue("retry-after").orElse(""));
      assertEquals(
          "\"basic\";q=8;w=4", response.headers().firstValue("ratelimit-policy").orElse(""));
      assertEquals("\"basic\";r=0;t=3", response.headers().firstValue("ratelimit").orElse(""));
    }
  }

  /**
   * Guards against a client that never gets a response because the policy loses its request or
   * throws an exception.
   */
  @Test
  void policyException_leadsTo504AtTheDeadline() throws Exception {
    try (GatewayHarness gateway = new GatewayHarness(request -> request.response().end())) {
      gateway.policy.respondWith(
          (nowMicros, event) -> {
            if (event instanceof RequestArrived) {
              throw new IllegalStateException("policy failure in a test");
            }
            return List.of();
          });
      assertEquals(
          504,
          gateway
              .send(gateway.requestTo("/lookup").header("x-envoy-expected-rq-timeout-ms", "50"))
              .get()
              .statusCode());
      gateway.policy.await(ClientDisconnected.class);
    }
  }

  @Test
  void disconnectDuringCounterCall_isReportedAndTheReplyStillDelivered() throws Exception {
    try (FakeCounterServer counter = new FakeCounterServer().start()) {
      try (GatewayHarness gateway =
          new GatewayHarness(
              request -> request.response().end(),
              "counter 127.0.0.1:" + counter.port(),
              "counter-limits timeout 20s")) {
        CompletableFuture<Long> arrivedRequestId = new CompletableFuture<>();
        gateway.policy.respondWith(
            (nowMicros, event) -> {
              if (event instanceof RequestArrived arrived) {
                arrivedRequestId.complete(arrived.requestId());
                return List.of(new AddToCounter("n", 1, 1_000_000));
              }
              return List.of();
            });
        counter.setDelayMillis(300);
        try (Socket socket = new Socket("127.0.0.1", gateway.port)) {
          socket
              .getOutputStream()
              .write(
                  "GET /lookup HTTP/1.1\r\nhost: x\r\nx-api-key: k1\r\n\r\n"
                      .getBytes(StandardCharsets.ISO_8859_1));
          arrivedRequestId.get(20, TimeUnit.SECONDS);
        }
        assertEquals(
            arrivedRequestId.get(), gateway.policy.await(ClientDisconnected.class).requestId());
        assertEquals("n", gateway.policy.await(CounterReply.class).counterName());
        assertEquals(1, gateway.policy.eventsOf(CounterReply.class).size());
      }
    }
  }

  @Test
  void streamReset_countsAsDisconnect() throws Exception {
    try (GatewayHarness gateway = new GatewayHarness(request -> {})) {
      var client =
          gateway.vertx.createHttpClient(
              new HttpClientOptions()
                  .setProtocolVersion(HttpVersion.HTTP_2)
                  .setHttp2ClearTextUpgrade(false));
      var request =
          GatewayHarness.await(
              client.request(
                  new RequestOptions()
                      .setHost("127.0.0.1")
                      .setPort(gateway.port)
                      .setURI("/lookup")
                      .putHeader("x-api-key", "k1")));
      request.send();
      long id = gateway.policy.await(RequestArrived.class).requestId();
      request.reset(CallResults.CANCEL);
      assertEquals(id, gateway.policy.await(ClientDisconnected.class).requestId());
    }
  }

  @Test
  void tenThousandRequestsInFlight_areAllAnswered() throws Exception {
    int count = 10_000;
    List<HttpServerRequest> heldRequests = new ArrayList<>();
    try (GatewayHarness gateway =
        new GatewayHarness(
            request -> {
              heldRequests.add(request);
              if (heldRequests.size() == count) {
                heldRequests.forEach(heldRequest -> heldRequest.response().end());
              }
            },
            "limits open 10000 attempts 1",
            "pool connections 4 streams 5000")) {
      gateway.policy.respondWith(
          (nowMicros, event) ->
              event instanceof RequestArrived arrived
                  ? List.of(new StartAttempt(arrived.requestId(), "w", arrived.deadlineAtMicros()))
                  : ScriptedPolicy.forwardOnce(nowMicros, event));
      var client =
          gateway.vertx.createHttpClient(
              new HttpClientOptions()
                  .setProtocolVersion(HttpVersion.HTTP_2)
                  .setHttp2ClearTextUpgrade(false),
              new PoolOptions().setHttp2MaxSize(20));
      List<Future<Integer>> responses = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        responses.add(
            client
                .request(
                    new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost("127.0.0.1")
                        .setPort(gateway.port)
                        .setURI("/lookup")
                        .putHeader("x-api-key", "k1"))
                .compose(request -> request.send())
                .map(HttpClientResponse::statusCode));
      }
      GatewayHarness.await(Future.all(responses));
      assertEquals(count, responses.stream().filter(response -> response.result() == 200).count());
      assertEquals(count, gateway.policy.eventsOf(AttemptCompleted.class).size());
    }
  }

  @Test
  void requestAboveTheInFlightLimit_isRejectedWith503WithoutThePolicy() throws Exception {
    try (GatewayHarness gateway = new GatewayHarness(request -> {}, "limits open 1")) {
      CompletableFuture<HttpResponse<String>> first =
          gateway.send(
              gateway.requestTo("/lookup").header("x-envoy-expected-rq-timeout-ms", "2000"));
      gateway.policy.await(RequestArrived.class);
      assertEquals(503, gateway.get("/lookup").statusCode());
      assertEquals(1, gateway.policy.eventsOf(RequestArrived.class).size());
      assertEquals(504, first.get(20, TimeUnit.SECONDS).statusCode());
    }
  }

  @Test
  void draining_answersRequestsInFlightAndRefusesConnections() throws Exception {
    CompletableFuture<HttpServerRequest> heldRequest = new CompletableFuture<>();
    GatewayHarness gateway = new GatewayHarness(heldRequest::complete, "stop 30s");
    CompletableFuture<HttpResponse<String>> pendingResponse =
        gateway.send(gateway.requestTo("/lookup"));
    HttpServerRequest request = heldRequest.get(20, TimeUnit.SECONDS);
    var stopped = gateway.server.stop();
    CompletableFuture<Boolean> connectionRefused =
        CompletableFuture.supplyAsync(
            () -> {
              while (true) {
                try (Socket socket = new Socket("127.0.0.1", gateway.port)) {
                  Thread.onSpinWait();
                } catch (java.io.IOException exception) {
                  return true;
                }
              }
            });
    assertTrue(connectionRefused.get(20, TimeUnit.SECONDS));
    assertTrue(!stopped.isComplete(), "the server stopped before the open request had a response");
    request.response().end("kept");
    assertEquals("kept", pendingResponse.get(20, TimeUnit.SECONDS).body());
    GatewayHarness.await(stopped);
    gateway.close();
  }
}
