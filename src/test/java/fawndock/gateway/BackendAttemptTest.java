package fawndock.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.action.CancelAttempt;
import fawndock.policy.action.FailRequest;
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
import org.junit.jupiter.api.Test;

/** Each line of the table of attempt results in docs/design/gateway.md, on sockets. */
class BackendAttemptTest {
  @Test
  void noConnection_isConnectFailed() throws Exception {
    try (GatewayHarness s = new GatewayHarness(r -> r.response().end())) {
      GatewayHarness.await(s.backend.close());
      assertEquals(502, s.get("/lookup").statusCode());
      assertEquals(CallResult.CONNECT_FAILED, s.policy.await(AttemptCompleted.class).result());
    }
  }

  @Test
  void refusedStream_isShed() throws Exception {
    try (GatewayHarness s =
        new GatewayHarness(r -> r.response().reset(CallResults.REFUSED_STREAM))) {
      assertEquals(502, s.get("/lookup").statusCode());
      assertEquals(CallResult.SHED, s.policy.await(AttemptCompleted.class).result());
    }
  }

  @Test
  void goAway_shedsStreamsAboveItsLastAndLeavesTheOthers() throws Exception {
    List<HttpServerRequest> held = new ArrayList<>();
    try (GatewayHarness s =
        new GatewayHarness(
            r -> {
              held.add(r);
              if (held.size() == 2) {
                r.connection().goAway(0, Math.min(held.get(0).streamId(), held.get(1).streamId()));
                HttpServerRequest below =
                    held.get(0).streamId() < held.get(1).streamId() ? held.get(0) : held.get(1);
                below.response().end("below");
              }
            },
            "pool connections 1")) {
      CompletableFuture<HttpResponse<String>> one = s.send(s.to("/lookup"));
      s.policy.await(RequestArrived.class);
      CompletableFuture<HttpResponse<String>> two = s.send(s.to("/lookup"));
      List<Integer> statuses =
          new ArrayList<>(
              List.of(
                  one.get(20, TimeUnit.SECONDS).statusCode(),
                  two.get(20, TimeUnit.SECONDS).statusCode()));
      statuses.sort(null);
      assertEquals(List.of(200, 502), statuses);
      assertEquals(
          List.of(CallResult.OK, CallResult.SHED),
          s.policy.all(AttemptCompleted.class).stream()
              .map(AttemptCompleted::result)
              .sorted()
              .toList());
    }
  }

  @Test
  void connectionLostAfterGoAway_isResetForStreamsBelowItsLast() throws Exception {
    try (GatewayHarness s =
        new GatewayHarness(
            r -> {
              r.connection().goAway(0, r.streamId());
              r.connection().close();
            })) {
      assertEquals(502, s.get("/lookup").statusCode());
      assertEquals(CallResult.RESET, s.policy.await(AttemptCompleted.class).result());
    }
  }

  @Test
  void streamResetWithAnotherCode_isReset() throws Exception {
    try (GatewayHarness s = new GatewayHarness(r -> r.response().reset(2))) {
      assertEquals(502, s.get("/lookup").statusCode());
      assertEquals(CallResult.RESET, s.policy.await(AttemptCompleted.class).result());
    }
  }

  @Test
  void responseThatBreaksHalfway_isResetAndNotServed() throws Exception {
    try (GatewayHarness s =
        new GatewayHarness(
            r ->
                r.response()
                    .setChunked(true)
                    .write("half")
                    .onSuccess(v -> r.response().reset(2)))) {
      assertEquals(502, s.get("/lookup").statusCode());
      assertEquals(CallResult.RESET, s.policy.await(AttemptCompleted.class).result());
    }
  }

  @Test
  void status5xx_isError() throws Exception {
    try (GatewayHarness s =
        new GatewayHarness(
            r ->
                r.response()
                    .setStatusCode(503)
                    .putHeader("endpoint-load-metrics", "TEXT cpu_utilization=0.5")
                    .end())) {
      HttpResponse<String> answer = s.get("/lookup");
      assertEquals(502, answer.statusCode());
      assertEquals(
          "application/problem+json", answer.headers().firstValue("content-type").orElse(""));
      AttemptCompleted outcome = s.policy.await(AttemptCompleted.class);
      assertEquals(CallResult.ERROR, outcome.result());
      assertEquals(0.5, outcome.load().utilization());
    }
  }

  @Test
  void statusBelow500_isServed() throws Exception {
    try (GatewayHarness s =
        new GatewayHarness(
            r -> r.response().setStatusCode(404).putHeader("x-own", "1").end("none"))) {
      HttpResponse<String> answer = s.get("/lookup");
      assertEquals(404, answer.statusCode());
      assertEquals("none", answer.body());
      assertEquals("1", answer.headers().firstValue("x-own").orElse(""));
      AttemptCompleted outcome = s.policy.await(AttemptCompleted.class);
      assertEquals(CallResult.OK, outcome.result());
      assertTrue(outcome.isFinal());
    }
  }

  /** Also a backend that answers after the attempt was abandoned: nobody gets that answer. */
  @Test
  void noResponseByTheDeadline_isTimeoutAndALateOneIsDropped() throws Exception {
    CompletableFuture<HttpServerRequest> held = new CompletableFuture<>();
    CountDownLatch reset = new CountDownLatch(1);
    try (GatewayHarness s =
        new GatewayHarness(
            r -> {
              r.response().exceptionHandler(e -> reset.countDown());
              held.complete(r);
            })) {
      s.policy.respondWith(
          (now, e) ->
              e instanceof RequestArrived r
                  ? List.of(new StartAttempt(r.requestId(), "w", now + 1_500_000))
                  : ScriptedPolicy.forwardOnce(now, e));
      HttpResponse<String> answer = s.get("/lookup");
      assertEquals(504, answer.statusCode());
      assertEquals(CallResult.TIMEOUT, s.policy.await(AttemptCompleted.class).result());
      assertTrue(reset.await(20, TimeUnit.SECONDS), "the worker is told that nobody waits");
      held.get().response().end("late");
      assertEquals(1, s.policy.all(AttemptCompleted.class).size());
    }
  }

  @Test
  void cancel_resetsTheStream() throws Exception {
    CountDownLatch reset = new CountDownLatch(1);
    try (GatewayHarness s =
        new GatewayHarness(r -> r.response().exceptionHandler(e -> reset.countDown()))) {
      s.policy.respondWith(
          (now, e) -> {
            if (e instanceof RequestArrived r) {
              return List.of(
                  new StartAttempt(r.requestId(), "w", 0),
                  new ScheduleTimer(100_000, new PolicyTimer.AnswerDeadline(r.requestId())));
            }
            return e instanceof TimerFired w
                    && w.timer() instanceof PolicyTimer.AnswerDeadline deadline
                ? List.of(
                    new CancelAttempt(deadline.requestId(), 0),
                    new FailRequest(deadline.requestId()))
                : List.of();
          });
      assertEquals(504, s.get("/lookup").statusCode());
      CallResult result = s.policy.await(AttemptCompleted.class).result();
      // Sent or not by then, it ends once; what was sent may have run.
      assertTrue(
          (result == CallResult.CANCELLED && reset.await(20, TimeUnit.SECONDS))
              || result == CallResult.NOT_SENT);
    }
  }

  /**
   * The loop is held until the backend's answer is there and the time-out is due: exactly one of
   * them counts.
   */
  @Test
  void responseAndTimeoutInOneTurn_completeTheAttemptOnce() throws Exception {
    CountDownLatch answered = new CountDownLatch(1);
    CompletableFuture<HttpServerRequest> held = new CompletableFuture<>();
    try (GatewayHarness s = new GatewayHarness(held::complete)) {
      long[] due = {0};
      s.policy.respondWith(
          (now, e) -> {
            if (e instanceof RequestArrived r) {
              due[0] = System.nanoTime() + 1_500_000_000;
              return List.of(
                  new StartAttempt(r.requestId(), "w", now + 1_500_000),
                  new ScheduleTimer(10_000, new PolicyTimer.UnknownTimer("hold")));
            }
            if (e instanceof TimerFired && !held.isDone()) {
              return List.of(new ScheduleTimer(10_000, new PolicyTimer.UnknownTimer("hold")));
            }
            if (e instanceof TimerFired) {
              try {
                held.get(20, TimeUnit.SECONDS)
                    .response()
                    .end("in time")
                    .onComplete(v -> answered.countDown());
                answered.await(20, TimeUnit.SECONDS);
                TimeUnit.NANOSECONDS.sleep(Math.max(0, due[0] + 20_000_000 - System.nanoTime()));
              } catch (Exception interrupted) {
                throw new IllegalStateException(interrupted);
              }
            }
            return ScriptedPolicy.forwardOnce(
                now,
                e instanceof TimerFired ? new TimerFired(new PolicyTimer.UnknownTimer("")) : e);
          });
      HttpResponse<String> answer = s.get("/lookup");
      AttemptCompleted outcome = s.policy.await(AttemptCompleted.class);
      assertEquals(outcome.result() == CallResult.OK ? 200 : 504, answer.statusCode());
      assertEquals(1, s.policy.all(AttemptCompleted.class).size());
    }
  }

  @Test
  void streamedResponse_hasNoDeadlineOnceStarted() throws Exception {
    CompletableFuture<HttpServerRequest> held = new CompletableFuture<>();
    try (GatewayHarness s =
        new GatewayHarness(
            r -> {
              r.response().setChunked(true).write("first ");
              held.complete(r);
            })) {
      s.policy.respondWith(
          (now, e) ->
              e instanceof RequestArrived r
                  ? List.of(
                      new StartAttempt(r.requestId(), "w", now + 2_000_000),
                      new ScheduleTimer(2_100_000, new PolicyTimer.UnknownTimer("after")))
                  : List.of());
      CompletableFuture<HttpResponse<String>> answer = s.send(s.to("/stream"));
      s.policy.await(ResponseStarted.class);
      s.policy.await(TimerFired.class); // The time of the attempt is over by now.
      assertEquals(0, s.policy.all(AttemptCompleted.class).size());
      held.get().response().end("last");
      assertEquals("first last", answer.get(20, TimeUnit.SECONDS).body());
      assertEquals(CallResult.OK, s.policy.await(AttemptCompleted.class).result());
    }
  }

  @Test
  void responseBeyondTheBuffer_isStreamed() throws Exception {
    try (GatewayHarness s =
        new GatewayHarness(r -> r.response().end("x".repeat(100_000)), "sizes answer 10KiB")) {
      assertEquals(100_000, s.get("/lookup").body().length());
      s.policy.await(ResponseStarted.class);
    }
  }
}
