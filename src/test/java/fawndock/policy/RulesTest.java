package fawndock.policy;

import static fawndock.policy.Rig.one;
import static fawndock.policy.Rig.only;
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
import fawndock.policy.event.PeerMessageReceived;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.ResponseStarted;
import fawndock.policy.event.TimerFired;
import java.nio.file.Files;
import java.nio.file.Path;
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
  private static Rig rig(Idempotency repeat, String... servers) {
    return new Rig(Rig.settings(Rig.ratePlan(0, 0), repeat, false, false), servers);
  }

  @Test
  void anUnsafeRequestThatMayHaveRunFailsAndIsNotSentAgain() {
    Rig rig = rig(Idempotency.AT_MOST_ONCE, "a", "b");
    String server = one(StartAttempt.class, rig.request(1)).endpointId();
    List<PolicyAction> after = rig.outcome(1, 0, server, CallResult.RESET, false);
    one(FailRequest.class, after);
    assertTrue(only(StartAttempt.class, after).isEmpty());
  }

  @Test
  void anUnsafeRequestThatNeverRanGoesToAnotherServer() {
    Rig rig = rig(Idempotency.AT_MOST_ONCE, "a", "b");
    String server = one(StartAttempt.class, rig.request(1)).endpointId();
    assertNotEquals(
        server,
        one(StartAttempt.class, rig.outcome(1, 0, server, CallResult.SHED, false)).endpointId());
  }

  @Test
  void aKeyedRequestIsRepeatedInsideItsWindowOnly() {
    Rig rig = rig(Idempotency.DEDUPLICATED, "a", "b", "c");
    String first = one(StartAttempt.class, rig.request(1)).endpointId();
    rig.now += 100_000;
    one(StartAttempt.class, rig.outcome(1, 0, first, CallResult.ERROR, false));
    String other = one(StartAttempt.class, rig.request(2)).endpointId();
    rig.now += Rig.SECOND;
    List<PolicyAction> late = rig.outcome(2, 0, other, CallResult.ERROR, false);
    assertTrue(only(StartAttempt.class, late).isEmpty());
    one(RejectRequest.class, late);
  }

  @Test
  void aKeyedRequestStaysInItsZone() {
    PolicyConfig all = Rig.settings(Rig.ratePlan(0, 0), Idempotency.DEDUPLICATED, false, false);
    RequestClass c = all.requestClasses().get(0);
    Rig rig =
        new Rig(
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
    one(StartAttempt.class, rig.request(1));
    rig.on(
        new EndpointUpdate(
            EndpointUpdateKind.CHANGES,
            List.of(new Endpoint("b", "there", 0, EndpointState.RUNNING, 1, 0))));
    List<PolicyAction> after = rig.outcome(1, 0, "a", CallResult.ERROR, false);
    assertTrue(only(StartAttempt.class, after).isEmpty(), "b is in another zone");
    rig.now += Rig.SECOND / 2;
    one(FailRequest.class, rig.on(new TimerFired(new PolicyTimer.QueueTimeout(1))));
  }

  @Test
  void attemptsAreNeverMoreThanAllowed() {
    Rig rig = rig(Idempotency.IDEMPOTENT, "a", "b", "c", "d", "e");
    String server = one(StartAttempt.class, rig.request(1)).endpointId();
    server =
        one(StartAttempt.class, rig.outcome(1, 0, server, CallResult.SHED, false)).endpointId();
    server =
        one(StartAttempt.class, rig.outcome(1, 1, server, CallResult.SHED, false)).endpointId();
    one(RejectRequest.class, rig.outcome(1, 2, server, CallResult.SHED, false));
  }

  @Test
  void aDrainingServerGetsNothingNew() {
    Rig rig = rig(Idempotency.IDEMPOTENT, "a", "b");
    rig.on(
        new EndpointUpdate(
            EndpointUpdateKind.CHANGES, List.of(Rig.server("a", EndpointState.DRAINING, 0))));
    for (long id = 1; id <= 6; id++) {
      only(StartAttempt.class, rig.request(id)).forEach(a -> assertEquals("b", a.endpointId()));
    }
    rig.on(
        new EndpointUpdate(
            EndpointUpdateKind.SNAPSHOT, List.of(Rig.server("a", EndpointState.RUNNING, 0))));
    only(StartAttempt.class, rig.request(7)).forEach(a -> assertEquals("a", a.endpointId()));
  }

  @Test
  void aColdServerGetsItsShareOnly() {
    Rig rig = rig(Idempotency.IDEMPOTENT, "a", "b", "c");
    rig.on(
        new EndpointUpdate(
            EndpointUpdateKind.CHANGES, List.of(Rig.server("d", EndpointState.RUNNING, rig.now))));
    Map<String, Integer> sent = new LinkedHashMap<>();
    Map<Long, String> servers = new LinkedHashMap<>();
    for (long id = 1; id <= 200; id++) {
      rig.now += 10_000;
      for (StartAttempt a : only(StartAttempt.class, rig.request(id))) {
        sent.merge(a.endpointId(), 1, Integer::sum);
        servers.put(id, a.endpointId());
      }
      if (servers.containsKey(id - 10)) {
        rig.outcome(id - 10, 0, servers.get(id - 10), CallResult.OK, true);
      }
    }
    int warm = (sent.get("a") + sent.get("b") + sent.get("c")) / 3;
    assertTrue(sent.getOrDefault("d", 0) <= warm / 2, sent.toString());
    assertTrue(sent.getOrDefault("d", 0) > 0, sent.toString());
  }

  @Test
  void aServerThatFailsInARowIsLeftOut() {
    Rig rig = rig(Idempotency.IDEMPOTENT, "a", "b", "c");
    int failed = 0;
    for (long id = 1; id <= 40; id++) {
      rig.now += 10_000;
      String server = one(StartAttempt.class, rig.request(id)).endpointId();
      boolean bad = server.equals("a");
      failed += bad ? 1 : 0;
      rig.outcome(id, 0, server, bad ? CallResult.RESET : CallResult.OK, !bad);
      if (bad) {
        rig.on(new ClientDisconnected(id));
      }
    }
    assertTrue(failed <= 3, "sent to the failing server " + failed + " times");
  }

  /** One that answers errors at once looks quick, and is not idle for being so. */
  @Test
  void aServerThatFailsFastDrawsNoTraffic() {
    Rig rig = rig(Idempotency.AT_MOST_ONCE, "a", "b", "c");
    int failing = 0;
    for (int id = 1; id <= 300; id++) {
      rig.now += 50_000;
      String server = one(StartAttempt.class, rig.request(id)).endpointId();
      boolean fails = server.equals("a") && id % 5 != 0;
      failing += server.equals("a") ? 1 : 0;
      rig.on(
          new AttemptCompleted(
              id,
              0,
              server,
              server.equals("a") ? 5_000 : 150_000,
              fails ? CallResult.ERROR : CallResult.OK,
              true,
              0,
              Map.of()));
    }
    assertTrue(failing < 30, failing + " of 300 went to the one that fails");
  }

  @Test
  void aFullFleetIsNotHammered() {
    Rig rig = rig(Idempotency.IDEMPOTENT, "a", "b", "c", "d", "e");
    int attempts = 0;
    for (long id = 1; id <= 100; id++) {
      rig.now += 1_000;
      List<StartAttempt> sent = only(StartAttempt.class, rig.request(id));
      for (int n = 0; !sent.isEmpty(); n++) {
        attempts++;
        sent =
            only(
                StartAttempt.class,
                rig.outcome(id, n, sent.get(0).endpointId(), CallResult.SHED, false));
      }
    }
    assertTrue(attempts <= 130, attempts + " attempts for 100 requests");
  }

  @Test
  void theDeadlineEndsWhatIsStillOut() {
    Rig rig = rig(Idempotency.AT_MOST_ONCE, "a");
    rig.request(1);
    rig.now += 3 * Rig.SECOND;
    one(FailRequest.class, rig.on(new TimerFired(new PolicyTimer.AnswerDeadline(1))));
    assertTrue(rig.on(new TimerFired(new PolicyTimer.AnswerDeadline(1))).isEmpty());
  }

  @Test
  void aStreamThatBeganIsLeftAlone() {
    Rig rig = rig(Idempotency.IDEMPOTENT, "a", "b");
    String server = one(StartAttempt.class, rig.request(1)).endpointId();
    rig.on(new ResponseStarted(1, 0, server));
    rig.now += 3 * Rig.SECOND;
    assertTrue(rig.on(new TimerFired(new PolicyTimer.AnswerDeadline(1))).isEmpty());
  }

  @Test
  void withoutServersARequestIsHeldAndThenRefused() {
    Rig rig = rig(Idempotency.IDEMPOTENT);
    assertTrue(only(RejectRequest.class, rig.request(1)).isEmpty());
    rig.now += Rig.SECOND;
    one(RejectRequest.class, rig.on(new TimerFired(new PolicyTimer.QueueTimeout(1))));
  }

  @Test
  void aSiteThatMustBeAskedIsWatched() {
    Rig rig = new Rig(Rig.settings(Rig.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false, true));
    one(WatchEndpoints.class, rig.on(new EndpointUpdate(EndpointUpdateKind.CACHED, List.of())));
    ScheduleTimer again =
        one(ScheduleTimer.class, rig.on(new EndpointUpdate(EndpointUpdateKind.FAILED, List.of())));
    one(WatchEndpoints.class, rig.on(new TimerFired(again.timer())));
  }

  @Test
  void strangersAreIgnored() {
    Rig rig = rig(Idempotency.IDEMPOTENT, "a");
    String server = one(StartAttempt.class, rig.request(1)).endpointId();
    rig.outcome(1, 0, server, CallResult.OK, true);
    assertTrue(rig.outcome(1, 0, server, CallResult.OK, true).isEmpty());
    assertTrue(rig.outcome(1, 7, server, CallResult.OK, true).isEmpty());
    assertTrue(rig.on(new ClientDisconnected(99)).isEmpty());
    assertTrue(rig.on(new TimerFired(new PolicyTimer.UnknownTimer("what is this"))).isEmpty());
    assertTrue(rig.on(new TimerFired(new PolicyTimer.UnknownTimer("end:x"))).isEmpty());
    assertTrue(rig.on(new CounterReply("nothing", CallResult.OK, 1, 1)).isEmpty());
    assertTrue(rig.on(new PeerMessageReceived(3, "hello")).isEmpty());
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
    private final Rig rig;
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
      this.rig = new Rig(Rig.settings(Rig.ratePlan(20, 10), repeat, true, true), "a", "b", "c");
    }

    List<PolicyAction> play() {
      for (long id = 1; id <= 300; id++) {
        rig.now += random.nextInt(20_000);
        RequestArrived r =
            new RequestArrived(
                id,
                "class",
                "plan",
                "customer" + random.nextInt(3),
                rig.now + 1_000_000 + random.nextInt(2_000_000),
                1 + random.nextInt(2),
                2,
                0,
                false);
        open.put(id, r);
        sent.put(id, new ArrayList<>());
        out.put(id, new ArrayList<>());
        mayHaveRun.put(id, false);
        take(rig.on(r));
        step();
      }
      long end = rig.now + 5_000_000;
      while (rig.now < end) {
        rig.now += 2_000;
        step();
      }
      assertTrue(open.isEmpty(), "never answered: " + open.keySet());
      return log;
    }

    private void step() {
      for (PolicyTimer token : List.copyOf(wakes.keySet())) {
        if (wakes.get(token) <= rig.now) {
          wakes.remove(token);
          take(rig.on(new TimerFired(token)));
        }
      }
      if (!counts.isEmpty() && random.nextBoolean()) {
        AddToCounter c = counts.remove(0);
        CallResult[] results = {CallResult.OK, CallResult.OK, CallResult.SHED, CallResult.TIMEOUT};
        take(
            rig.on(
                new CounterReply(
                    c.counterName(), results[random.nextInt(4)], random.nextInt(8), 1_000)));
      }
      if (random.nextInt(10) == 0) {
        String server = "abc".substring(random.nextInt(3)).substring(0, 1);
        boolean drain = draining.add(server) || !draining.remove(server);
        take(
            rig.on(
                new EndpointUpdate(
                    EndpointUpdateKind.CHANGES,
                    List.of(
                        Rig.server(
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
          rig.on(
              new AttemptCompleted(
                  id,
                  attempt,
                  sent.get(id).get(attempt).endpointId(),
                  50_000,
                  result,
                  !open.containsKey(id),
                  1,
                  Map.of("queue", 1.0))));
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
          wakes.put(w.timer(), rig.now + w.delayMicros());
        } else if (action instanceof CancelAttempt c) {
          assertTrue(c.attemptIndex() < sent.get(c.requestId()).size(), "never made: " + c);
        }
      }
    }

    private void answered(long id) {
      RequestArrived r = open.remove(id);
      assertTrue(r != null, "answered twice: " + id);
      assertTrue(rig.now <= r.deadlineAtMicros() + 16_000, "answered late: " + id);
    }
  }

  @Test
  void theModuleStaysReadable() throws Exception {
    List<String> lines =
        Files.readAllLines(Path.of("src/main/java/fawndock/policy/DefaultGatewayPolicy.java"));
    assertTrue(lines.stream().allMatch(line -> line.length() <= 100));
    int comment = lines.indexOf("/**");
    assertTrue(
        String.join("\n", lines.subList(comment, comment + 8)).contains("GatewayPolicy.java"));
  }
}
