package fawndock.conformance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.conformance.TraceEvent.AttemptArrived;
import fawndock.conformance.TraceEvent.ClientDisconnected;
import fawndock.conformance.TraceEvent.ConnectionLost;
import fawndock.conformance.TraceEvent.EffectApplied;
import fawndock.conformance.TraceEvent.EndpointAnnounced;
import fawndock.conformance.TraceEvent.EndpointStarted;
import fawndock.conformance.TraceEvent.GatewayKilled;
import fawndock.conformance.TraceEvent.RequestSent;
import fawndock.conformance.TraceEvent.ResponseReceived;
import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests a correct trace, and a trace for each way in which a rule can be broken. */
class InvariantCheckerTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final ConformanceLimits LIMITS =
      new ConformanceLimits(
          Map.of(
              "lookup",
              requestClass("lookup", Idempotency.IDEMPOTENT),
              "update",
              requestClass("update", Idempotency.DEDUPLICATED),
              "charge",
              requestClass("charge", Idempotency.AT_MOST_ONCE)),
          new ServiceRules(
              10_000, SECOND_MICROS, 0.2, 10 * SECOND_MICROS, 2, SECOND_MICROS, 10 * SECOND_MICROS),
          Map.of(
              "c",
              new Plan("p", 0, 0, 0, 1, 0, 0, 0, 0, 0),
              "top",
              new Plan("t", 0, 0, 0, 1, 0, 0, 2, 3, 1)),
          50_000);

  private static RequestClass requestClass(String name, Idempotency idempotency) {
    return new RequestClass(
        name,
        SECOND_MICROS,
        0,
        2 * SECOND_MICROS,
        1,
        0,
        idempotency,
        DeduplicationScope.ALL,
        SECOND_MICROS,
        false);
  }

  private static RequestSent sent(String requestId, String requestClass, long atMicros) {
    return new RequestSent(
        atMicros, requestId, 0, requestClass, "c", 1, atMicros + 2 * SECOND_MICROS);
  }

  private static AttemptArrived arrived(String requestId, String endpointId, long atMicros) {
    return new AttemptArrived(atMicros, requestId, endpointId, 1, false);
  }

  /** Returns the events of a correct request: sent, executed and answered. */
  private static List<TraceEvent> served(String requestId, String requestClass, long atMicros) {
    return List.of(
        sent(requestId, requestClass, atMicros),
        arrived(requestId, "w", atMicros + 1_000),
        new EffectApplied(atMicros + 2_000, requestId, "w"),
        new ResponseReceived(atMicros + 3_000, requestId, 200));
  }

  private static ConformanceResult check(List<TraceEvent> events, TraceEvent... additionalEvents) {
    List<TraceEvent> trace = new ArrayList<>(events);
    trace.addAll(Arrays.asList(additionalEvents));
    return InvariantChecker.check(trace, LIMITS);
  }

  private static String counts(ConformanceResult result) {
    return result.summaryLine().replaceAll("[^0-9]+", " ").trim();
  }

  @Test
  void check_correctTrace_isConformant() {
    List<TraceEvent> correctTrace =
        Stream.of(
                served("a.0", "lookup", SECOND_MICROS),
                served("b.0", "charge", 2 * SECOND_MICROS),
                served("d.0", "update", 3 * SECOND_MICROS))
            .flatMap(List::stream)
            .toList();
    ConformanceResult result =
        check(
            correctTrace,
            new EndpointAnnounced(0, 0, "w", "running", 0),
            sent("e.0", "lookup", SECOND_MICROS),
            new ClientDisconnected(SECOND_MICROS + 5, "e.0"),
            sent("f.0", "lookup", SECOND_MICROS),
            new GatewayKilled(SECOND_MICROS + 5, 0),
            new ConnectionLost(SECOND_MICROS + 6, "f.0"));
    assertTrue(result.isConformant());
    assertEquals(
        "rules kept: 5 requests, 0 unanswered, 0 answered twice, 0 late drains, 0 repeated effects, "
            + "0 cold falls, 0 ceilings passed",
        result.summaryLine());
  }

  @Test
  void check_emptyTrace_isNotConformant() {
    assertFalse(check(List.of()).isConformant());
  }

  @Test
  void check_missingOrLateResponseOrUnexplainedDisconnect_countsUnanswered() {
    assertEquals("1 1 0 0 0 0 0", counts(check(List.of(sent("a.0", "lookup", SECOND_MICROS)))));
    assertEquals(
        "1 1 0 0 0 0 0",
        counts(
            check(
                List.of(sent("a.0", "lookup", SECOND_MICROS)),
                new ResponseReceived(3 * SECOND_MICROS + 70_000, "a.0", 200))));
    assertEquals(
        "1 1 0 0 0 0 0",
        counts(
            check(
                List.of(sent("a.0", "lookup", SECOND_MICROS)),
                new ConnectionLost(SECOND_MICROS + 9, "a.0"))));
  }

  @Test
  void check_secondResponseOrAttemptAfterResponse_countsAnsweredTwice() {
    assertEquals(
        "1 0 1 0 0 0 0",
        counts(
            check(
                served("a.0", "lookup", SECOND_MICROS),
                new ResponseReceived(SECOND_MICROS + 9_000, "a.0", 504))));
    assertEquals(
        "1 0 1 0 0 0 0",
        counts(
            check(
                served("a.0", "lookup", SECOND_MICROS),
                arrived("a.0", "v", SECOND_MICROS + 90_000))));
  }

  @Test
  void check_attemptToDrainingEndpointAfterGrace_countsLateDrain() {
    EndpointAnnounced draining = new EndpointAnnounced(0, 0, "w", "stopping", 0);
    assertEquals(
        "1 0 0 1 0 0 0", counts(check(served("a.0", "lookup", 2 * SECOND_MICROS), draining)));
    assertTrue(
        check(served("a.0", "lookup", SECOND_MICROS), draining).isConformant(),
        "within the grace period");
    assertTrue(
        check(
                served("a.0", "lookup", 2 * SECOND_MICROS),
                new EndpointAnnounced(0, 1, "w", "stopping", 0))
            .isConformant(),
        "another gateway was notified");
    assertTrue(
        check(
                served("a.0", "lookup", 2 * SECOND_MICROS),
                draining,
                new EndpointAnnounced(SECOND_MICROS, 0, "w", "running", SECOND_MICROS))
            .isConformant(),
        "the endpoint is running again");
    assertEquals(
        "1 0 0 1 0 0 0",
        counts(
            check(
                served("a.0", "lookup", 2 * SECOND_MICROS),
                draining,
                new EndpointAnnounced(SECOND_MICROS + 900_000, 0, "w", "deleted", 0))),
        "the grace period starts at the first announcement");
  }

  @Test
  void check_repeatedEffectOrForbiddenRetry_countsRepeatedEffect() {
    assertEquals(
        "1 0 0 0 2 0 0",
        counts(
            check(
                served("a.0", "charge", SECOND_MICROS),
                arrived("a.0", "v", SECOND_MICROS + 2_500),
                new EffectApplied(SECOND_MICROS + 2_600, "a.0", "v"))),
        "retried and executed again");
    assertEquals(
        "2 0 0 0 1 0 0",
        counts(
            check(
                Stream.concat(
                        served("a.0", "charge", SECOND_MICROS).stream(),
                        served("a.1", "charge", 2 * SECOND_MICROS).stream())
                    .toList())),
        "executed again by the client's retry");
    assertEquals(
        "1 0 0 0 1 0 0",
        counts(
            check(
                List.of(
                    sent("a.0", "charge", SECOND_MICROS),
                    arrived("a.0", "w", SECOND_MICROS + 5),
                    new ResponseReceived(SECOND_MICROS + 9, "a.0", 429)))),
        "rejected although it may have run");
    assertTrue(
        check(
                List.of(
                    sent("a.0", "charge", SECOND_MICROS),
                    new AttemptArrived(SECOND_MICROS + 5, "a.0", "w", 1, true),
                    new ResponseReceived(SECOND_MICROS + 9, "a.0", 429)))
            .isConformant(),
        "the endpoint rejected the attempt without running it");
    List<TraceEvent> update =
        List.of(
            sent("a.0", "update", SECOND_MICROS),
            arrived("a.0", "w", SECOND_MICROS + 5),
            new ResponseReceived(3 * SECOND_MICROS, "a.0", 200));
    assertEquals(
        "1 0 0 0 1 0 0",
        counts(check(update, arrived("a.0", "v", 2 * SECOND_MICROS + 60_000))),
        "retried after the deduplication window");
    assertTrue(
        check(update, arrived("a.0", "v", SECOND_MICROS + 900_000)).isConformant(),
        "retried within the deduplication window");
  }

  @Test
  void check_tooManyAttemptsToWarmingUpEndpoint_countsOverload() {
    List<TraceEvent> trace =
        new ArrayList<>(
            List.of(
                new EndpointStarted(0, "w", 1, true, 100),
                new EndpointAnnounced(1, 0, "w", "running", 10)));
    // One second after the start, the capacity is 28 of 100 attempts per second. The limit is twice
    // that, 56, plus three standard deviations, about 78.
    IntStream.range(0, 90)
        .forEach(i -> trace.addAll(served("a" + i + ".0", "lookup", SECOND_MICROS + i)));
    assertEquals(1, InvariantChecker.check(trace, LIMITS).warmUpOverloadCount());
    assertEquals(
        0, InvariantChecker.check(trace.subList(0, 2 + 4 * 70), LIMITS).warmUpOverloadCount());
    trace.set(1, new EndpointAnnounced(1, 1, "w", "running", 10));
    assertEquals(
        0,
        InvariantChecker.check(trace, LIMITS).warmUpOverloadCount(),
        "no sending gateway had been notified of the start");
  }

  @Test
  void check_unitsBeyondCeilingAndTolerance_countsCeilingExceeded() {
    List<TraceEvent> trace = new ArrayList<>();
    IntStream.range(0, 5)
        .forEach(
            i ->
                trace.addAll(
                    List.of(
                        new RequestSent(
                            SECOND_MICROS + i,
                            "a" + i + ".0",
                            0,
                            "lookup",
                            "top",
                            1,
                            3 * SECOND_MICROS),
                        arrived("a" + i + ".0", "w", SECOND_MICROS + i),
                        new ResponseReceived(SECOND_MICROS + 10, "a" + i + ".0", 200))));
    assertEquals(
        1,
        InvariantChecker.check(trace, LIMITS).ceilingExceededCount(),
        "burst of 3 and tolerance of 1: the fifth request exceeds the ceiling");
    assertTrue(InvariantChecker.check(trace.subList(0, 12), LIMITS).isConformant());
    trace.set(
        12, new RequestSent(2 * SECOND_MICROS, "a4.0", 0, "lookup", "top", 1, 4 * SECOND_MICROS));
    trace.set(13, arrived("a4.0", "w", 2 * SECOND_MICROS));
    trace.set(14, new ResponseReceived(2 * SECOND_MICROS + 9, "a4.0", 200));
    assertTrue(
        InvariantChecker.check(trace, LIMITS).isConformant(), "the token bucket has been refilled");
  }
}
