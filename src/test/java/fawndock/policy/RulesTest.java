package fawndock.policy;

import static fawndock.policy.PolicyHarness.allOf;
import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.CancelAttempt;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.action.WatchEndpoints;
import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.config.RequestClass;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.ClientDisconnected;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.LoadReport;
import fawndock.policy.event.PeerMessageReceived;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.ResponseStarted;
import fawndock.policy.event.TimerFired;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RulesTest {
  private static PolicyHarness rig(Idempotency repeat, String... servers) {
    return new PolicyHarness(
        PolicyHarness.config(PolicyHarness.ratePlan(0, 0), repeat, false, false), servers);
  }

  @Test
  void anUnsafeRequestThatMayHaveRunFailsAndIsNotSentAgain() {
    PolicyHarness rig = rig(Idempotency.AT_MOST_ONCE, "a", "b");
    String server = single(StartAttempt.class, rig.request(1)).endpointId();
    List<PolicyAction> after = rig.completeAttempt(1, 0, server, CallResult.RESET, false);
    single(FailRequest.class, after);
    assertTrue(allOf(StartAttempt.class, after).isEmpty());
  }

  @Test
  void anUnsafeRequestThatNeverRanGoesToAnotherServer() {
    PolicyHarness rig = rig(Idempotency.AT_MOST_ONCE, "a", "b");
    String server = single(StartAttempt.class, rig.request(1)).endpointId();
    assertNotEquals(
        server,
        single(StartAttempt.class, rig.completeAttempt(1, 0, server, CallResult.SHED, false))
            .endpointId());
  }

  @Test
  void aKeyedRequestIsRepeatedInsideItsWindowOnly() {
    PolicyHarness rig = rig(Idempotency.DEDUPLICATED, "a", "b", "c");
    String first = single(StartAttempt.class, rig.request(1)).endpointId();
    rig.nowMicros += 100_000;
    single(StartAttempt.class, rig.completeAttempt(1, 0, first, CallResult.ERROR, false));
    String other = single(StartAttempt.class, rig.request(2)).endpointId();
    rig.nowMicros += PolicyHarness.SECOND_MICROS;
    List<PolicyAction> late = rig.completeAttempt(2, 0, other, CallResult.ERROR, false);
    assertTrue(allOf(StartAttempt.class, late).isEmpty());
    single(RejectRequest.class, late);
  }

  @Test
  void aKeyedRequestStaysInItsZone() {
    PolicyConfig all =
        PolicyHarness.config(PolicyHarness.ratePlan(0, 0), Idempotency.DEDUPLICATED, false, false);
    RequestClass c = all.requestClasses().get(0);
    PolicyHarness rig =
        new PolicyHarness(
            new PolicyConfig(
                0,
                2,
                7,
                2_000,
                "here",
                false,
                List.of(
                    new RequestClass(
                        c.name(),
                        c.latencyObjectiveMicros(),
                        0,
                        c.deadlineMicros(),
                        1,
                        0,
                        c.idempotency(),
                        DeduplicationScope.ZONE,
                        c.deduplicationWindowMicros(),
                        false)),
                all.plans(),
                all.limits(),
                all.rules(),
                all.counter()),
            "a");
    single(StartAttempt.class, rig.request(1));
    rig.onEvent(
        new EndpointUpdate(
            EndpointUpdateKind.CHANGES,
            List.of(new Endpoint("b", "there", 0, EndpointState.RUNNING, 1, 0))));
    List<PolicyAction> after = rig.completeAttempt(1, 0, "a", CallResult.ERROR, false);
    assertTrue(allOf(StartAttempt.class, after).isEmpty(), "b is in another zone");
    rig.nowMicros += PolicyHarness.SECOND_MICROS / 2;
    single(FailRequest.class, rig.onEvent(new TimerFired(new PolicyTimer.QueueTimeout(1))));
  }

  @Test
  void attemptsAreNeverMoreThanAllowed() {
    PolicyHarness rig = rig(Idempotency.IDEMPOTENT, "a", "b", "c", "d", "e");
    String server = single(StartAttempt.class, rig.request(1)).endpointId();
    server =
        single(StartAttempt.class, rig.completeAttempt(1, 0, server, CallResult.SHED, false))
            .endpointId();
    server =
        single(StartAttempt.class, rig.completeAttempt(1, 1, server, CallResult.SHED, false))
            .endpointId();
    single(RejectRequest.class, rig.completeAttempt(1, 2, server, CallResult.SHED, false));
  }

  @Test
  void aDrainingServerGetsNothingNew() {
    PolicyHarness rig = rig(Idempotency.IDEMPOTENT, "a", "b");
    rig.onEvent(
        new EndpointUpdate(
            EndpointUpdateKind.CHANGES,
            List.of(PolicyHarness.endpoint("a", EndpointState.DRAINING, 0))));
    for (long id = 1; id <= 6; id++) {
      allOf(StartAttempt.class, rig.request(id)).forEach(a -> assertEquals("b", a.endpointId()));
    }
    rig.onEvent(
        new EndpointUpdate(
            EndpointUpdateKind.SNAPSHOT,
            List.of(PolicyHarness.endpoint("a", EndpointState.RUNNING, 0))));
    allOf(StartAttempt.class, rig.request(7)).forEach(a -> assertEquals("a", a.endpointId()));
  }

  @Test
  void aColdServerGetsItsShareOnly() {
    PolicyHarness rig = rig(Idempotency.IDEMPOTENT, "a", "b", "c");
    rig.onEvent(
        new EndpointUpdate(
            EndpointUpdateKind.CHANGES,
            List.of(PolicyHarness.endpoint("d", EndpointState.RUNNING, rig.nowMicros))));
    Map<String, Integer> sent = new LinkedHashMap<>();
    Map<Long, String> servers = new LinkedHashMap<>();
    for (long id = 1; id <= 200; id++) {
      rig.nowMicros += 10_000;
      for (StartAttempt a : allOf(StartAttempt.class, rig.request(id))) {
        sent.merge(a.endpointId(), 1, Integer::sum);
        servers.put(id, a.endpointId());
      }
      if (servers.containsKey(id - 10)) {
        rig.completeAttempt(id - 10, 0, servers.get(id - 10), CallResult.OK, true);
      }
    }
    int warm = (sent.get("a") + sent.get("b") + sent.get("c")) / 3;
    assertTrue(sent.getOrDefault("d", 0) <= warm / 2, sent.toString());
    assertTrue(sent.getOrDefault("d", 0) > 0, sent.toString());
  }

  @Test
  void aServerThatFailsInARowIsLeftOut() {
    PolicyHarness rig = rig(Idempotency.IDEMPOTENT, "a", "b", "c");
    int failed = 0;
    for (long id = 1; id <= 40; id++) {
      rig.nowMicros += 10_000;
      String server = single(StartAttempt.class, rig.request(id)).endpointId();
      boolean bad = server.equals("a");
      failed += bad ? 1 : 0;
      rig.completeAttempt(id, 0, server, bad ? CallResult.RESET : CallResult.OK, !bad);
      if (bad) {
        rig.onEvent(new ClientDisconnected(id));
      }
    }
    assertTrue(failed <= 3, "sent to the failing server " + failed + " times");
  }

  /** One that answers errors at once looks quick, and is not idle for being so. */
  @Test
  void aServerThatFailsFastDrawsNoTraffic() {
    PolicyHarness rig = rig(Idempotency.AT_MOST_ONCE, "a", "b", "c");
    int failing = 0;
    for (int id = 1; id <= 300; id++) {
      rig.nowMicros += 50_000;
      String server = single(StartAttempt.class, rig.request(id)).endpointId();
      boolean fails = server.equals("a") && id % 5 != 0;
      failing += server.equals("a") ? 1 : 0;
      rig.onEvent(
          new AttemptCompleted(
              id,
              0,
              server,
              server.equals("a") ? 5_000 : 150_000,
              fails ? CallResult.ERROR : CallResult.OK,
              true,
              0,
              LoadReport.NONE));
    }
    assertTrue(failing < 30, failing + " of 300 went to the one that fails");
  }

  @Test
  void aFullFleetIsNotHammered() {
    PolicyHarness rig = rig(Idempotency.IDEMPOTENT, "a", "b", "c", "d", "e");
    int attempts = 0;
    for (long id = 1; id <= 100; id++) {
      rig.nowMicros += 1_000;
      List<StartAttempt> sent = allOf(StartAttempt.class, rig.request(id));
      for (int n = 0; !sent.isEmpty(); n++) {
        attempts++;
        sent =
            allOf(
                StartAttempt.class,
                rig.completeAttempt(id, n, sent.get(0).endpointId(), CallResult.SHED, false));
      }
    }
    assertTrue(attempts <= 130, attempts + " attempts for 100 requests");
  }

  @Test
  void theDeadlineEndsWhatIsStillOut() {
    PolicyHarness rig = rig(Idempotency.AT_MOST_ONCE, "a");
    rig.request(1);
    rig.nowMicros += 3 * PolicyHarness.SECOND_MICROS;
    single(FailRequest.class, rig.onEvent(new TimerFired(new PolicyTimer.AnswerDeadline(1))));
    assertTrue(rig.onEvent(new TimerFired(new PolicyTimer.AnswerDeadline(1))).isEmpty());
  }

  @Test
  void aStreamThatBeganIsLeftAlone() {
    PolicyHarness rig = rig(Idempotency.IDEMPOTENT, "a", "b");
    String server = single(StartAttempt.class, rig.request(1)).endpointId();
    rig.onEvent(new ResponseStarted(1, 0, server));
    rig.nowMicros += 3 * PolicyHarness.SECOND_MICROS;
    assertTrue(rig.onEvent(new TimerFired(new PolicyTimer.AnswerDeadline(1))).isEmpty());
  }

  @Test
  void withoutServersARequestIsHeldAndThenRefused() {
    PolicyHarness rig = rig(Idempotency.IDEMPOTENT);
    assertTrue(allOf(RejectRequest.class, rig.request(1)).isEmpty());
    rig.nowMicros += PolicyHarness.SECOND_MICROS;
    single(RejectRequest.class, rig.onEvent(new TimerFired(new PolicyTimer.QueueTimeout(1))));
  }

  @Test
  void aSiteThatMustBeAskedIsWatched() {
    PolicyHarness rig =
        new PolicyHarness(
            PolicyHarness.config(
                PolicyHarness.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false, true));
    single(
        WatchEndpoints.class,
        rig.onEvent(new EndpointUpdate(EndpointUpdateKind.CACHED, List.of())));
    ScheduleTimer again =
        single(
            ScheduleTimer.class,
            rig.onEvent(new EndpointUpdate(EndpointUpdateKind.FAILED, List.of())));
    single(WatchEndpoints.class, rig.onEvent(new TimerFired(again.timer())));
  }

  @Test
  void strangersAreIgnored() {
    PolicyHarness rig = rig(Idempotency.IDEMPOTENT, "a");
    String server = single(StartAttempt.class, rig.request(1)).endpointId();
    rig.completeAttempt(1, 0, server, CallResult.OK, true);
    assertTrue(rig.completeAttempt(1, 0, server, CallResult.OK, true).isEmpty());
    assertTrue(rig.completeAttempt(1, 7, server, CallResult.OK, true).isEmpty());
    assertTrue(rig.onEvent(new ClientDisconnected(99)).isEmpty());
    assertTrue(rig.onEvent(new TimerFired(new PolicyTimer.UnknownTimer("what is this"))).isEmpty());
    assertTrue(rig.onEvent(new TimerFired(new PolicyTimer.UnknownTimer("end:x"))).isEmpty());
    assertTrue(rig.onEvent(new CounterReply("nothing", CallResult.OK, 1, 1)).isEmpty());
    assertTrue(rig.onEvent(new PeerMessageReceived(3, "hello")).isEmpty());
  }

  /**
   * Random legal days: each request gets one answer in time, and nothing is sent after it or beyond
   * its class.
   */
  @ParameterizedTest
  @EnumSource(Idempotency.class)
  void randomDaysKeepTheRules(Idempotency repeat) {
    for (long seed = 1; seed <= 40; seed++) {
      List<PolicyAction> first = new Day(repeat, seed).play();
      assertEquals(first, new Day(repeat, seed).play(), "the same events, the same actions");
    }
  }

  /** One random day of a gatekeeper: it carries out the actions and checks the rules on them. */
  private static final class Day {
    private final Random random;
    private final Idempotency repeat;
    private final PolicyHarness rig;
    private final Map<Long, RequestArrived> open = new LinkedHashMap<>();
    private final Map<Long, List<StartAttempt>> sent = new LinkedHashMap<>();
    private final Map<Long, List<Integer>> out = new LinkedHashMap<>();
    private final Map<Long, Boolean> mayHaveRun = new LinkedHashMap<>();
    private final List<AddToCounter> counts = new ArrayList<>();
    private final Map<PolicyTimer, Long> wakes = new LinkedHashMap<>();
    private final Set<String> draining = new LinkedHashSet<>();
    private final List<PolicyAction> log = new ArrayList<>();

    Day(Idempotency repeat, long seed) {
      this.repeat = repeat;
      this.random = new Random(seed);
      this.rig =
          new PolicyHarness(
              PolicyHarness.config(PolicyHarness.ratePlan(20, 10), repeat, true, true),
              "a",
              "b",
              "c");
    }

    List<PolicyAction> play() {
      for (long id = 1; id <= 300; id++) {
        rig.nowMicros += random.nextInt(20_000);
        RequestArrived r =
            new RequestArrived(
                id,
                "class",
                "plan",
                "customer" + random.nextInt(3),
                rig.nowMicros + 1_000_000 + random.nextInt(2_000_000),
                1 + random.nextInt(2),
                2,
                0,
                false);
        open.put(id, r);
        sent.put(id, new ArrayList<>());
        out.put(id, new ArrayList<>());
        mayHaveRun.put(id, false);
        take(rig.onEvent(r));
        step();
      }
      long end = rig.nowMicros + 5_000_000;
      while (rig.nowMicros < end) {
        rig.nowMicros += 2_000;
        step();
      }
      assertTrue(open.isEmpty(), "never answered: " + open.keySet());
      return log;
    }

    private void step() {
      for (PolicyTimer token : List.copyOf(wakes.keySet())) {
        if (wakes.get(token) <= rig.nowMicros) {
          wakes.remove(token);
          take(rig.onEvent(new TimerFired(token)));
        }
      }
      if (!counts.isEmpty() && random.nextBoolean()) {
        AddToCounter c = counts.remove(0);
        CallResult[] results = {CallResult.OK, CallResult.OK, CallResult.SHED, CallResult.TIMEOUT};
        take(
            rig.onEvent(
                new CounterReply(
                    c.counterName(), results[random.nextInt(4)], random.nextInt(8), 1_000)));
      }
      if (random.nextInt(10) == 0) {
        String server = "abc".substring(random.nextInt(3)).substring(0, 1);
        boolean drain = draining.add(server) || !draining.remove(server);
        take(
            rig.onEvent(
                new EndpointUpdate(
                    EndpointUpdateKind.CHANGES,
                    List.of(
                        PolicyHarness.endpoint(
                            server, drain ? EndpointState.DRAINING : EndpointState.RUNNING, 0)))));
      }
      for (long id : List.copyOf(out.keySet())) {
        if (!out.get(id).isEmpty() && random.nextInt(20) == 0) {
          end(id);
        }
      }
    }

    private void end(long id) {
      int attempt = out.get(id).remove(0);
      CallResult[] results = {
        CallResult.OK,
        CallResult.OK,
        CallResult.ERROR,
        CallResult.SHED,
        CallResult.TIMEOUT,
        CallResult.RESET
      };
      CallResult result = results[random.nextInt(results.length)];
      if (result == CallResult.OK) {
        open.remove(id);
      }
      mayHaveRun.merge(id, result.mayHaveTakenEffect, Boolean::logicalOr);
      take(
          rig.onEvent(
              new AttemptCompleted(
                  id,
                  attempt,
                  sent.get(id).get(attempt).endpointId(),
                  50_000,
                  result,
                  !open.containsKey(id),
                  1,
                  new LoadReport.Builder().queuedRequests(1).build())));
    }

    private void take(List<PolicyAction> actions) {
      log.addAll(actions);
      for (PolicyAction action : actions) {
        if (action instanceof StartAttempt a) {
          RequestArrived r = open.get(a.requestId());
          assertTrue(r != null, "sent after its answer: " + a);
          assertTrue(!draining.contains(a.endpointId()), "sent to a draining server: " + a);
          assertTrue(out.get(r.requestId()).isEmpty(), "two attempts out: " + a);
          assertTrue(
              repeat != Idempotency.AT_MOST_ONCE || !mayHaveRun.get(r.requestId()),
              "run twice: " + a);
          sent.get(r.requestId()).add(a);
          assertTrue(sent.get(r.requestId()).size() <= 3, "too many attempts: " + a);
          out.get(r.requestId()).add(sent.get(r.requestId()).size() - 1);
        } else if (action instanceof RejectRequest a) {
          boolean safe = repeat != Idempotency.AT_MOST_ONCE || !mayHaveRun.get(a.requestId());
          assertTrue(
              safe && (repeat != Idempotency.AT_MOST_ONCE || out.get(a.requestId()).isEmpty()),
              "" + a);
          answered(a.requestId());
        } else if (action instanceof FailRequest a) {
          answered(a.requestId());
        } else if (action instanceof AddToCounter c) {
          counts.add(c);
        } else if (action instanceof ScheduleTimer w) {
          wakes.put(w.timer(), rig.nowMicros + w.delayMicros());
        } else if (action instanceof CancelAttempt c) {
          assertTrue(c.attemptIndex() < sent.get(c.requestId()).size(), "never made: " + c);
        }
      }
    }

    private void answered(long id) {
      RequestArrived r = open.remove(id);
      assertTrue(r != null, "answered twice: " + id);
      assertTrue(rig.nowMicros <= r.deadlineAtMicros() + 16_000, "answered late: " + id);
    }
  }
}
