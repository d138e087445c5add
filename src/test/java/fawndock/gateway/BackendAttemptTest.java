package fawndock.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.action.CancelAttempt;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.ResponseStarted;
import fawndock.policy.event.TimerFired;
import io.vertx.core.http.HttpServerRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests each row of the table of attempt results in docs/design/gateway.md, over sockets. */
class BackendAttemptTest {
  @Test
  void noConnection_isConnectFailed() throws Exception {
    try (GatewayHarness gateway = new GatewayHarness(request -> request.response().end())) {
      GatewayHarness.await(gateway.backend.close());
      assertEquals(502, gateway.get("/lookup").statusCode());
      assertEquals(
          CallResult.CONNECT_FAILED, gateway.policy.await(AttemptCompleted.class).result());
    }
  }

  @Test
  void refusedStream_isShed() throws Exception {
    try (GatewayHarness gateway =
        new GatewayHarness(request -> request.response().reset(CallResults.REFUSED_STREAM))) {
      assertEquals(502, gateway.get("/lookup").statusCode());
      assertEquals(CallResult.SHED, gateway.policy.await(AttemptCompleted.class).result());
    }
  }

  @Tag("known-red")
  @Test
  void goAway_shedsStreamsAboveItsLastAndLeavesTheOthers() throws Exception {
    List<HttpServerRequest> heldRequests = new ArrayList<>();
    try (GatewayHarness gateway =
        new GatewayHarness(
            request -> {
              heldRequests.add(request);
              if (heldRequests.size() == 2) {
                request
                    .connection()
                    .goAway(
                        0,
                        Math.min(heldRequests.get(0).streamId(), heldRequests.get(1).streamId()));
                HttpServerRequest requestBelowLast =
                    heldRequests.get(0).streamId() < heldRequests.get(1).streamId()
                        ? heldRequests.get(0)
                        : heldRequests.get(1);
                requestBelowLast.response().end("below");
              }
            },
            "pool connections 1")) {
      CompletableFuture<HttpResponse<String>> firstResponse =
          gateway.send(gateway.requestTo("/lookup"));
      gateway.policy.await(RequestArrived.class);
      CompletableFuture<HttpResponse<String>> secondResponse =
          gateway.send(gateway.requestTo("/lookup"));
      List<Integer> statuses =
          new ArrayList<>(
              List.of(
                  firstResponse.get(20, TimeUnit.SECONDS).statusCode(),
                  secondResponse.get(20, TimeUnit.SECONDS).statusCode()));
      statuses.sort(null);
      assertEquals(List.of(200, 502), statuses);
      assertEquals(
          List.of(CallResult.OK, CallResult.SHED),
          gateway.policy.eventsOf(AttemptCompleted.class).stream()
              .map(AttemptCompleted::result)
              .sorted()
              .toList());
    }
  }

  @Test
  void connectionLostAfterGoAway_isResetForStreamsBelowItsLast() throws Exception {
    try (GatewayHarness gateway =
        new GatewayHarness(
            request -> {
              request.connection().goAway(0, request.streamId());
              request.connection().close();
            })) {
      assertEquals(502, gateway.get("/lookup").statusCode());
      assertEquals(CallResult.RESET, gateway.policy.await(AttemptCompleted.class).result());
    }
  }

  @Test
  void streamResetWithAnotherCode_isReset() throws Exception {
    try (GatewayHarness gateway = new GatewayHarness(request -> request.response().reset(2))) {
      assertEquals(502, gateway.get("/lookup").statusCode());
      assertEquals(CallResult.RESET, gateway.policy.await(AttemptCompleted.class).result());
    }
  }

  @Test
  void responseResetHalfway_isResetAndNotServed() throws Exception {
    try (GatewayHarness gateway =
        new GatewayHarness(
            request ->
                request
                    .response()
                    .setChunked(true)
                    .write("half")
                    .onSuccess(v -> request.response().reset(2)))) {
      assertEquals(502, gateway.get("/lookup").statusCode());
      assertEquals(CallResult.RESET, gateway.policy.await(AttemptCompleted.class).result());
    }
  }

  @Test
  void status5xx_isError() throws Exception {
    try (GatewayHarness gateway =
        new GatewayHarness(
            request ->
                request
                    .response()
                    .setStatusCode(503)
                    .putHeader("endpoint-load-metrics", "TEXT cpu_utilization=0.5")
                    .end())) {
      HttpResponse<String> response = gateway.get("/lookup");
      assertEquals(502, response.statusCode());
      assertEquals(
          "application/problem+json", response.headers().firstValue("content-type").orElse(""));
      AttemptCompleted completed = gateway.policy.await(AttemptCompleted.class);
      assertEquals(CallResult.ERROR, completed.result());
      assertEquals(0.5, completed.load().utilization());
    }
  }

  @Test
  void statusBelow500_isServed() throws Exception {
    try (GatewayHarness gateway =
        new GatewayHarness(
            request -> request.response().setStatusCode(404).putHeader("x-own", "1").end("none"))) {
      HttpResponse<String> response = gateway.get("/lookup");
      assertEquals(404, response.statusCode());
      assertEquals("none", response.body());
      assertEquals("1", response.headers().firstValue("x-own").orElse(""));
      AttemptCompleted completed = gateway.policy.await(AttemptCompleted.class);
      assertEquals(CallResult.OK, completed.result());
      assertTrue(completed.isFinal());
    }
  }

  /** A response that arrives after the attempt timed out is dropped. */
  @Test
  void noResponseByTheDeadline_isTimeoutAndALateResponseIsDropped() throws Exception {
    CompletableFuture<HttpServerRequest> heldRequest = new CompletableFuture<>();
    CountDownLatch reset = new CountDownLatch(1);
    try (GatewayHarness gateway =
        new GatewayHarness(
            request -> {
              request.response().exceptionHandler(error -> reset.countDown());
              heldRequest.complete(request);
            })) {
      gateway.policy.respondWith(
          (nowMicros, event) ->
              event instanceof RequestArrived arrived
                  ? List.of(new StartAttempt(arrived.requestId(), "w", nowMicros + 1_500_000))
                  : ScriptedPolicy.forwardOnce(nowMicros, event));
      HttpResponse<String> response = gateway.get("/lookup");
      assertEquals(504, response.statusCode());
      assertEquals(CallResult.TIMEOUT, gateway.policy.await(AttemptCompleted.class).result());
      assertTrue(reset.await(20, TimeUnit.SECONDS), "the stream to the backend was not reset");
      heldRequest.get().response().end("late");
      assertEquals(1, gateway.policy.eventsOf(AttemptCompleted.class).size());
    }
  }

  /** Guards against a request that is sent although its connection came up too late for it. */
  @Test
  void connectionAfterTheSendDeadline_isNotUsed() throws Exception {
    AtomicInteger sentCount = new AtomicInteger();
    try (GatewayHarness gateway =
        new GatewayHarness(
            request -> {
              sentCount.incrementAndGet();
              request.response().end();
            })) {
      gateway.policy.respondWith(
          (nowMicros, event) ->
              event instanceof RequestArrived arrived
                  ? startAttemptWithDelay(arrived, nowMicros)
                  : ScriptedPolicy.forwardOnce(nowMicros, event));
      assertEquals(504, gateway.get("/lookup").statusCode());
      assertEquals(CallResult.NOT_SENT, gateway.policy.await(AttemptCompleted.class).result());
      assertEquals(0, sentCount.get());
    }
  }

  /** Returns an attempt whose send deadline has passed when the event loop can connect. */
  private static List<PolicyAction> startAttemptWithDelay(RequestArrived arrived, long nowMicros) {
    try {
      Thread.sleep(100);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
    return List.of(
        new StartAttempt(arrived.requestId(), "w", arrived.deadlineAtMicros(), nowMicros + 50_000));
  }

  @Test
  void cancel_resetsTheStream() throws Exception {
    CountDownLatch reset = new CountDownLatch(1);
    try (GatewayHarness gateway =
        new GatewayHarness(
            request -> request.response().exceptionHandler(error -> reset.countDown()))) {
      gateway.policy.respondWith(
          (nowMicros, event) -> {
            if (event instanceof RequestArrived arrived) {
              return List.of(
                  new StartAttempt(arrived.requestId(), "w", 0),
                  new ScheduleTimer(100_000, new PolicyTimer.AnswerDeadline(arrived.requestId())));
            }
            return event instanceof TimerFired fired
                    && fired.timer() instanceof PolicyTimer.AnswerDeadline deadline
                ? List.of(
                    new CancelAttempt(deadline.requestId(), 0),
                    new FailRequest(deadline.requestId()))
                : List.of();
          });
      assertEquals(504, gateway.get("/lookup").statusCode());
      CallResult result = gateway.policy.await(AttemptCompleted.class).result();
      // Whether it was sent by then or not, the attempt completes once; a request that was sent may
      // have been processed.
      assertTrue(
          (result == CallResult.CANCELLED && reset.await(20, TimeUnit.SECONDS))
              || result == CallResult.NOT_SENT);
    }
  }

  /**
   * Guards against two results of one attempt: the event loop is blocked until the response has
   * arrived and the timeout has expired, and exactly one of them takes effect.
   */
  @Test
  void responseAndTimeoutInOneTurn_completeTheAttemptOnce() throws Exception {
    CountDownLatch responseSent = new CountDownLatch(1);
    CompletableFuture<HttpServerRequest> heldRequest = new CompletableFuture<>();
    try (GatewayHarness gateway = new GatewayHarness(heldRequest::complete)) {
      long[] deadlineNanos = {0};
      gateway.policy.respondWith(
          (nowMicros, event) -> {
            if (event instanceof RequestArrived arrived) {
              deadlineNanos[0] = System.nanoTime() + 1_500_000_000;
              return List.of(
                  new StartAttempt(arrived.requestId(), "w", nowMicros + 1_500_000),
                  new ScheduleTimer(10_000, new PolicyTimer.UnknownTimer("hold")));
            }
            if (event instanceof TimerFired && !heldRequest.isDone()) {
              return List.of(new ScheduleTimer(10_000, new PolicyTimer.UnknownTimer("hold")));
            }
            if (event instanceof TimerFired) {
              try {
                heldRequest
                    .get(20, TimeUnit.SECONDS)
                    .response()
                    .end("in time")
                    .onComplete(v -> responseSent.countDown());
                responseSent.await(20, TimeUnit.SECONDS);
                TimeUnit.NANOSECONDS.sleep(
                    Math.max(0, deadlineNanos[0] + 20_000_000 - System.nanoTime()));
              } catch (Exception exception) {
                throw new IllegalStateException(exception);
              }
            }
            return ScriptedPolicy.forwardOnce(
                nowMicros,
                event instanceof TimerFired
                    ? new TimerFired(new PolicyTimer.UnknownTimer(""))
                    : event);
          });
      HttpResponse<String> response = gateway.get("/lookup");
      AttemptCompleted completed = gateway.policy.await(AttemptCompleted.class);
      assertEquals(completed.result() == CallResult.OK ? 200 : 504, response.statusCode());
      assertEquals(1, gateway.policy.eventsOf(AttemptCompleted.class).size());
    }
  }

  @Test
  void streamedResponse_hasNoDeadlineOnceStarted() throws Exception {
    CompletableFuture<HttpServerRequest> heldRequest = new CompletableFuture<>();
    try (GatewayHarness gateway =
        new GatewayHarness(
            request -> {
              request.response().setChunked(true).write("first ");
              heldRequest.complete(request);
            })) {
      gateway.policy.respondWith(
          (nowMicros, event) ->
              event instanceof RequestArrived arrived
                  ? List.of(
                      new StartAttempt(arrived.requestId(), "w", nowMicros + 2_000_000),
                      new ScheduleTimer(2_100_000, new PolicyTimer.UnknownTimer("after")))
                  : List.of());
      CompletableFuture<HttpResponse<String>> response = gateway.send(gateway.requestTo("/stream"));
      gateway.policy.await(ResponseStarted.class);
      gateway.policy.await(TimerFired.class); // The deadline of the attempt has passed by now.
      assertEquals(0, gateway.policy.eventsOf(AttemptCompleted.class).size());
      heldRequest.get().response().end("last");
      assertEquals("first last", response.get(20, TimeUnit.SECONDS).body());
      assertEquals(CallResult.OK, gateway.policy.await(AttemptCompleted.class).result());
    }
  }

  @Test
  void responseAboveTheBufferLimit_isStreamed() throws Exception {
    try (GatewayHarness gateway =
        new GatewayHarness(
            request -> request.response().end("x".repeat(100_000)), "sizes answer 10KiB")) {
      assertEquals(100_000, gateway.get("/lookup").body().length());
      gateway.policy.await(ResponseStarted.class);
    }
  }
}
