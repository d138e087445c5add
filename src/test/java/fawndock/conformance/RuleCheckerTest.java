package fawndock.conformance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.conformance.TraceEvent.Answered;
import fawndock.conformance.TraceEvent.Arrived;
import fawndock.conformance.TraceEvent.Asked;
import fawndock.conformance.TraceEvent.Broke;
import fawndock.conformance.TraceEvent.Came;
import fawndock.conformance.TraceEvent.Killed;
import fawndock.conformance.TraceEvent.Left;
import fawndock.conformance.TraceEvent.Ran;
import fawndock.conformance.TraceEvent.Told;
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

/** The judge itself is tried: a sound trace, then one for each way in which a rule is broken. */
class RuleCheckerTest {
  private static final long S = 1_000_000;
  private static final ConformanceLimits FIGURES =
      new ConformanceLimits(
          Map.of(
              "lookup",
              type("lookup", Idempotency.IDEMPOTENT),
              "update",
              type("update", Idempotency.DEDUPLICATED),
              "charge",
              type("charge", Idempotency.AT_MOST_ONCE)),
          new ServiceRules(10_000, S, 0.2, 10 * S, 2, S, 10 * S),
          Map.of(
              "c",
              new Plan("p", 0, 0, 0, 1, 0, 0, 0, 0, 0),
              "top",
              new Plan("t", 0, 0, 0, 1, 0, 0, 2, 3, 1)),
          50_000);

  private static RequestClass type(String name, Idempotency repeat) {
    return new RequestClass(name, S, 0, 2 * S, 1, 0, repeat, DeduplicationScope.ALL, S, false);
  }

  private static Asked asked(String request, String type, long at) {
    return new Asked(at, request, 0, type, "c", 1, at + 2 * S);
  }

  private static Arrived arrived(String request, String worker, long at) {
    return new Arrived(at, request, worker, 1, false);
  }

  /** A sound request: sent, run, answered. */
  private static List<TraceEvent> served(String request, String type, long at) {
    return List.of(
        asked(request, type, at),
        arrived(request, "w", at + 1_000),
        new Ran(at + 2_000, request, "w"),
        new Answered(at + 3_000, request, 200));
  }

  private static ConformanceResult judge(List<TraceEvent> base, TraceEvent... more) {
    List<TraceEvent> trace = new ArrayList<>(base);
    trace.addAll(Arrays.asList(more));
    return InvariantChecker.judge(trace, FIGURES);
  }

  private static String counts(ConformanceResult v) {
    return v.line().replaceAll("[^0-9]+", " ").trim();
  }

  @Test
  void aSoundTraceKeepsTheRules() {
    List<TraceEvent> sound =
        Stream.of(
                served("a.0", "lookup", S),
                served("b.0", "charge", 2 * S),
                served("d.0", "update", 3 * S))
            .flatMap(List::stream)
            .toList();
    ConformanceResult verdict =
        judge(
            sound,
            new Told(0, 0, "w", "running", 0),
            asked("e.0", "lookup", S),
            new Left(S + 5, "e.0"),
            asked("f.0", "lookup", S),
            new Killed(S + 5, 0),
            new Broke(S + 6, "f.0"));
    assertTrue(verdict.kept());
    assertEquals(
        "rules kept: 5 requests, 0 unanswered, 0 answered twice, 0 late drains, 0 repeated effects, "
            + "0 cold falls, 0 ceilings passed",
        verdict.line());
  }

  @Test
  void nothingAskedProvesNothing() {
    assertFalse(judge(List.of()).kept());
  }

  @Test
  void findsNoAnswerALateOneAndABreakWithoutAKill() {
    assertEquals("1 1 0 0 0 0 0", counts(judge(List.of(asked("a.0", "lookup", S)))));
    assertEquals(
        "1 1 0 0 0 0 0",
        counts(
            judge(List.of(asked("a.0", "lookup", S)), new Answered(3 * S + 70_000, "a.0", 200))));
    assertEquals(
        "1 1 0 0 0 0 0",
        counts(judge(List.of(asked("a.0", "lookup", S)), new Broke(S + 9, "a.0"))));
  }

  @Test
  void findsASecondAnswerAndWhatIsSentOnAfterTheFirst() {
    assertEquals(
        "1 0 1 0 0 0 0",
        counts(judge(served("a.0", "lookup", S), new Answered(S + 9_000, "a.0", 504))));
    assertEquals(
        "1 0 1 0 0 0 0",
        counts(judge(served("a.0", "lookup", S), arrived("a.0", "v", S + 90_000))));
  }

  @Test
  void findsALateDrainByTheGatekeeperThatWasTold() {
    Told told = new Told(0, 0, "w", "stopping", 0);
    assertEquals("1 0 0 1 0 0 0", counts(judge(served("a.0", "lookup", 2 * S), told)));
    assertTrue(judge(served("a.0", "lookup", S), told).kept(), "within the grace");
    assertTrue(
        judge(served("a.0", "lookup", 2 * S), new Told(0, 1, "w", "stopping", 0)).kept(),
        "another gatekeeper was told");
    assertTrue(
        judge(served("a.0", "lookup", 2 * S), told, new Told(S, 0, "w", "running", S)).kept(),
        "it is back");
    assertEquals(
        "1 0 0 1 0 0 0",
        counts(
            judge(
                served("a.0", "lookup", 2 * S), told, new Told(S + 900_000, 0, "w", "deleted", 0))),
        "the first word counts");
  }

  @Test
  void findsRepeatedEffects() {
    assertEquals(
        "1 0 0 0 2 0 0",
        counts(
            judge(
                served("a.0", "charge", S),
                arrived("a.0", "v", S + 2_500),
                new Ran(S + 2_600, "a.0", "v"))),
        "sent again, and run again");
    assertEquals(
        "2 0 0 0 1 0 0",
        counts(
            judge(
                Stream.concat(
                        served("a.0", "charge", S).stream(),
                        served("a.1", "charge", 2 * S).stream())
                    .toList())),
        "by the client's next try");
    assertEquals(
        "1 0 0 0 1 0 0",
        counts(
            judge(
                List.of(
                    asked("a.0", "charge", S),
                    arrived("a.0", "w", S + 5),
                    new Answered(S + 9, "a.0", 429)))),
        "refused though it may have run");
    assertTrue(
        judge(
                List.of(
                    asked("a.0", "charge", S),
                    new Arrived(S + 5, "a.0", "w", 1, true),
                    new Answered(S + 9, "a.0", 429)))
            .kept(),
        "the worker had refused it unrun");
    List<TraceEvent> update =
        List.of(
            asked("a.0", "update", S), arrived("a.0", "w", S + 5), new Answered(3 * S, "a.0", 200));
    assertEquals(
        "1 0 0 0 1 0 0",
        counts(judge(update, arrived("a.0", "v", 2 * S + 60_000))),
        "beyond its window");
    assertTrue(judge(update, arrived("a.0", "v", S + 900_000)).kept(), "within its window");
  }

  @Test
  void findsAColdWorkerPushedOver() {
    List<TraceEvent> trace =
        new ArrayList<>(
            List.of(new Came(0, "w", 1, true, 100), new Told(1, 0, "w", "running", 10)));
    // At one second it can do 28 of its 100 a second: twice that is 56, and three deviations make
    // 78.
    IntStream.range(0, 90).forEach(i -> trace.addAll(served("a" + i + ".0", "lookup", S + i)));
    assertEquals(1, InvariantChecker.judge(trace, FIGURES).coldFalls());
    assertEquals(0, InvariantChecker.judge(trace.subList(0, 2 + 4 * 70), FIGURES).coldFalls());
    trace.set(1, new Told(1, 1, "w", "running", 10));
    assertEquals(0, InvariantChecker.judge(trace, FIGURES).coldFalls(), "nobody who sent it knew");
  }

  @Test
  void findsACeilingPassed() {
    List<TraceEvent> trace = new ArrayList<>();
    IntStream.range(0, 5)
        .forEach(
            i ->
                trace.addAll(
                    List.of(
                        new Asked(S + i, "a" + i + ".0", 0, "lookup", "top", 1, 3 * S),
                        arrived("a" + i + ".0", "w", S + i),
                        new Answered(S + 10, "a" + i + ".0", 200))));
    assertEquals(
        1,
        InvariantChecker.judge(trace, FIGURES).ceilingsPassed(),
        "3 stored, 1 of slack: the fifth passes");
    assertTrue(InvariantChecker.judge(trace.subList(0, 12), FIGURES).kept());
    trace.set(12, new Asked(2 * S, "a4.0", 0, "lookup", "top", 1, 4 * S));
    trace.set(13, arrived("a4.0", "w", 2 * S));
    trace.set(14, new Answered(2 * S + 9, "a4.0", 200));
    assertTrue(InvariantChecker.judge(trace, FIGURES).kept(), "it has filled again");
  }
}
