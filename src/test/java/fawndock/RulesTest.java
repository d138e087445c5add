package fawndock;

import static fawndock.Rig.one;
import static fawndock.Rig.only;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.Gatekeeper.Action;
import fawndock.Gatekeeper.Attempt;
import fawndock.Gatekeeper.Availability;
import fawndock.Gatekeeper.Cancel;
import fawndock.Gatekeeper.Count;
import fawndock.Gatekeeper.Counted;
import fawndock.Gatekeeper.Fail;
import fawndock.Gatekeeper.Gone;
import fawndock.Gatekeeper.Listing;
import fawndock.Gatekeeper.Message;
import fawndock.Gatekeeper.Outcome;
import fawndock.Gatekeeper.Refuse;
import fawndock.Gatekeeper.Repeat;
import fawndock.Gatekeeper.Request;
import fawndock.Gatekeeper.Result;
import fawndock.Gatekeeper.Servers;
import fawndock.Gatekeeper.Started;
import fawndock.Gatekeeper.Wake;
import fawndock.Gatekeeper.WakeAfter;
import fawndock.Gatekeeper.Watch;
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
  private static Rig rig(Repeat repeat, String... servers) {
    return new Rig(Rig.settings(Rig.ratePlan(0, 0), repeat, false, false), servers);
  }

  @Test
  void anUnsafeRequestThatMayHaveRunFailsAndIsNotSentAgain() {
    Rig rig = rig(Repeat.AT_MOST_ONCE, "a", "b");
    String server = one(Attempt.class, rig.request(1)).server();
    List<Action> after = rig.outcome(1, 0, server, Result.RESET, false);
    one(Fail.class, after);
    assertTrue(only(Attempt.class, after).isEmpty());
  }

  @Test
  void anUnsafeRequestThatNeverRanGoesToAnotherServer() {
    Rig rig = rig(Repeat.AT_MOST_ONCE, "a", "b");
    String server = one(Attempt.class, rig.request(1)).server();
    assertNotEquals(
        server, one(Attempt.class, rig.outcome(1, 0, server, Result.SHED, false)).server());
  }

  @Test
  void aKeyedRequestIsRepeatedInsideItsWindowOnly() {
    Rig rig = rig(Repeat.DEDUPLICATED, "a", "b", "c");
    String first = one(Attempt.class, rig.request(1)).server();
    rig.now += 100_000;
    one(Attempt.class, rig.outcome(1, 0, first, Result.ERROR, false));
    String other = one(Attempt.class, rig.request(2)).server();
    rig.now += Rig.SECOND;
    List<Action> late = rig.outcome(2, 0, other, Result.ERROR, false);
    assertTrue(only(Attempt.class, late).isEmpty());
    one(Refuse.class, late);
  }

  @Test
  void aKeyedRequestStaysInItsZone() {
    Gatekeeper.Settings all = Rig.settings(Rig.ratePlan(0, 0), Repeat.DEDUPLICATED, false, false);
    Gatekeeper.RequestClass c = all.classes().get(0);
    Rig rig =
        new Rig(
            new Gatekeeper.Settings(
                0,
                2,
                7,
                2_000,
                "here",
                false,
                List.of(
                    new Gatekeeper.RequestClass(
                        c.name(),
                        c.aimMicros(),
                        0,
                        c.deadlineMicros(),
                        1,
                        0,
                        c.repeat(),
                        Gatekeeper.Group.ZONE,
                        c.repeatWindowMicros(),
                        false)),
                all.plans(),
                all.limits(),
                all.rules(),
                all.counter()),
            "a");
    one(Attempt.class, rig.request(1));
    rig.on(
        new Servers(
            Listing.CHANGES,
            List.of(new Gatekeeper.Server("b", "there", 0, Availability.RUNNING, 1, 0))));
    List<Action> after = rig.outcome(1, 0, "a", Result.ERROR, false);
    assertTrue(only(Attempt.class, after).isEmpty(), "b is in another zone");
    rig.now += Rig.SECOND / 2;
    one(Fail.class, rig.on(new Wake("hold:1")));
  }

  @Test
  void attemptsAreNeverMoreThanAllowed() {
    Rig rig = rig(Repeat.IDEMPOTENT, "a", "b", "c", "d", "e");
    String server = one(Attempt.class, rig.request(1)).server();
    server = one(Attempt.class, rig.outcome(1, 0, server, Result.SHED, false)).server();
    server = one(Attempt.class, rig.outcome(1, 1, server, Result.SHED, false)).server();
    one(Refuse.class, rig.outcome(1, 2, server, Result.SHED, false));
  }

  @Test
  void aDrainingServerGetsNothingNew() {
    Rig rig = rig(Repeat.IDEMPOTENT, "a", "b");
    rig.on(new Servers(Listing.CHANGES, List.of(Rig.server("a", Availability.STOPPING, 0))));
    for (long id = 1; id <= 6; id++) {
      only(Attempt.class, rig.request(id)).forEach(a -> assertEquals("b", a.server()));
    }
    rig.on(new Servers(Listing.COMPLETE, List.of(Rig.server("a", Availability.RUNNING, 0))));
    only(Attempt.class, rig.request(7)).forEach(a -> assertEquals("a", a.server()));
  }

  @Test
  void aColdServerGetsItsShareOnly() {
    Rig rig = rig(Repeat.IDEMPOTENT, "a", "b", "c");
    rig.on(new Servers(Listing.CHANGES, List.of(Rig.server("d", Availability.RUNNING, rig.now))));
    Map<String, Integer> sent = new LinkedHashMap<>();
    Map<Long, String> servers = new LinkedHashMap<>();
    for (long id = 1; id <= 200; id++) {
      rig.now += 10_000;
      for (Attempt a : only(Attempt.class, rig.request(id))) {
        sent.merge(a.server(), 1, Integer::sum);
        servers.put(id, a.server());
      }
      if (servers.containsKey(id - 10)) {
        rig.outcome(id - 10, 0, servers.get(id - 10), Result.OK, true);
      }
    }
    int warm = (sent.get("a") + sent.get("b") + sent.get("c")) / 3;
    assertTrue(sent.getOrDefault("d", 0) <= warm / 2, sent.toString());
    assertTrue(sent.getOrDefault("d", 0) > 0, sent.toString());
  }

  @Test
  void aServerThatFailsInARowIsLeftOut() {
    Rig rig = rig(Repeat.IDEMPOTENT, "a", "b", "c");
    int failed = 0;
    for (long id = 1; id <= 40; id++) {
      rig.now += 10_000;
      String server = one(Attempt.class, rig.request(id)).server();
      boolean bad = server.equals("a");
      failed += bad ? 1 : 0;
      rig.outcome(id, 0, server, bad ? Result.RESET : Result.OK, !bad);
      if (bad) {
        rig.on(new Gone(id));
      }
    }
    assertTrue(failed <= 3, "sent to the failing server " + failed + " times");
  }

  /** One that answers errors at once looks quick, and is not idle for being so. */
  @Test
  void aServerThatFailsFastDrawsNoTraffic() {
    Rig rig = rig(Repeat.AT_MOST_ONCE, "a", "b", "c");
    int failing = 0;
    for (int id = 1; id <= 300; id++) {
      rig.now += 50_000;
      String server = one(Attempt.class, rig.request(id)).server();
      boolean fails = server.equals("a") && id % 5 != 0;
      failing += server.equals("a") ? 1 : 0;
      rig.on(
          new Outcome(
              id,
              0,
              server,
              server.equals("a") ? 5_000 : 150_000,
              fails ? Result.ERROR : Result.OK,
              true,
              0,
              Map.of()));
    }
    assertTrue(failing < 30, failing + " of 300 went to the one that fails");
  }

  @Test
  void aFullFleetIsNotHammered() {
    Rig rig = rig(Repeat.IDEMPOTENT, "a", "b", "c", "d", "e");
    int attempts = 0;
    for (long id = 1; id <= 100; id++) {
      rig.now += 1_000;
      List<Attempt> sent = only(Attempt.class, rig.request(id));
      for (int n = 0; !sent.isEmpty(); n++) {
        attempts++;
        sent = only(Attempt.class, rig.outcome(id, n, sent.get(0).server(), Result.SHED, false));
      }
    }
    assertTrue(attempts <= 130, attempts + " attempts for 100 requests");
  }

  @Test
  void theDeadlineEndsWhatIsStillOut() {
    Rig rig = rig(Repeat.AT_MOST_ONCE, "a");
    rig.request(1);
    rig.now += 3 * Rig.SECOND;
    one(Fail.class, rig.on(new Wake("end:1")));
    assertTrue(rig.on(new Wake("end:1")).isEmpty());
  }

  @Test
  void aStreamThatBeganIsLeftAlone() {
    Rig rig = rig(Repeat.IDEMPOTENT, "a", "b");
    String server = one(Attempt.class, rig.request(1)).server();
    rig.on(new Started(1, 0, server));
    rig.now += 3 * Rig.SECOND;
    assertTrue(rig.on(new Wake("end:1")).isEmpty());
  }

  @Test
  void withoutServersARequestIsHeldAndThenRefused() {
    Rig rig = rig(Repeat.IDEMPOTENT);
    assertTrue(only(Refuse.class, rig.request(1)).isEmpty());
    rig.now += Rig.SECOND;
    one(Refuse.class, rig.on(new Wake("hold:1")));
  }

  @Test
  void aSiteThatMustBeAskedIsWatched() {
    Rig rig = new Rig(Rig.settings(Rig.ratePlan(0, 0), Repeat.IDEMPOTENT, false, false, true));
    one(Watch.class, rig.on(new Servers(Listing.CACHED, List.of())));
    WakeAfter again = one(WakeAfter.class, rig.on(new Servers(Listing.FAILED, List.of())));
    one(Watch.class, rig.on(new Wake(again.token())));
  }

  @Test
  void strangersAreIgnored() {
    Rig rig = rig(Repeat.IDEMPOTENT, "a");
    String server = one(Attempt.class, rig.request(1)).server();
    rig.outcome(1, 0, server, Result.OK, true);
    assertTrue(rig.outcome(1, 0, server, Result.OK, true).isEmpty());
    assertTrue(rig.outcome(1, 7, server, Result.OK, true).isEmpty());
    assertTrue(rig.on(new Gone(99)).isEmpty());
    assertTrue(rig.on(new Wake("what is this")).isEmpty());
    assertTrue(rig.on(new Wake("end:x")).isEmpty());
    assertTrue(rig.on(new Counted("nothing", Result.OK, 1, 1)).isEmpty());
    assertTrue(rig.on(new Message(3, "hello")).isEmpty());
  }

  /**
   * Random legal days: each request gets one answer in time, and nothing is sent after it or beyond
   * its class.
   */
  @ParameterizedTest
  @EnumSource(Repeat.class)
  void randomDaysKeepTheRules(Repeat repeat) {
    for (long seed = 1; seed <= 40; seed++) {
      List<Action> first = new Day(repeat, seed).play();
      assertEquals(first, new Day(repeat, seed).play(), "the same events, the same actions");
    }
  }

  /** One random day of a gatekeeper: it carries out the actions and checks the rules on them. */
  private static final class Day {
    private final Random random;
    private final Repeat repeat;
    private final Rig rig;
    private final Map<Long, Request> open = new LinkedHashMap<>();
    private final Map<Long, List<Attempt>> sent = new LinkedHashMap<>();
    private final Map<Long, List<Integer>> out = new LinkedHashMap<>();
    private final Map<Long, Boolean> mayHaveRun = new LinkedHashMap<>();
    private final List<Count> counts = new ArrayList<>();
    private final Map<String, Long> wakes = new LinkedHashMap<>();
    private final Set<String> draining = new LinkedHashSet<>();
    private final List<Action> log = new ArrayList<>();

    Day(Repeat repeat, long seed) {
      this.repeat = repeat;
      this.random = new Random(seed);
      this.rig = new Rig(Rig.settings(Rig.ratePlan(20, 10), repeat, true, true), "a", "b", "c");
    }

    List<Action> play() {
      for (long id = 1; id <= 300; id++) {
        rig.now += random.nextInt(20_000);
        Request r =
            new Request(
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
      for (String token : List.copyOf(wakes.keySet())) {
        if (wakes.get(token) <= rig.now) {
          wakes.remove(token);
          take(rig.on(new Wake(token)));
        }
      }
      if (!counts.isEmpty() && random.nextBoolean()) {
        Count c = counts.remove(0);
        Result[] results = {Result.OK, Result.OK, Result.SHED, Result.TIMEOUT};
        take(rig.on(new Counted(c.name(), results[random.nextInt(4)], random.nextInt(8), 1_000)));
      }
      if (random.nextInt(10) == 0) {
        String server = "abc".substring(random.nextInt(3)).substring(0, 1);
        boolean drain = draining.add(server) || !draining.remove(server);
        take(
            rig.on(
                new Servers(
                    Listing.CHANGES,
                    List.of(
                        Rig.server(
                            server, drain ? Availability.STOPPING : Availability.RUNNING, 0)))));
      }
      for (long id : List.copyOf(out.keySet())) {
        if (!out.get(id).isEmpty() && random.nextInt(20) == 0) {
          end(id);
        }
      }
    }

    private void end(long id) {
      int attempt = out.get(id).remove(0);
      Result[] results = {
        Result.OK, Result.OK, Result.ERROR, Result.SHED, Result.TIMEOUT, Result.RESET
      };
      Result result = results[random.nextInt(results.length)];
      if (result == Result.OK) {
        open.remove(id);
      }
      mayHaveRun.merge(id, result.mayHaveRun, Boolean::logicalOr);
      take(
          rig.on(
              new Outcome(
                  id,
                  attempt,
                  sent.get(id).get(attempt).server(),
                  50_000,
                  result,
                  !open.containsKey(id),
                  1,
                  Map.of("queue", 1.0))));
    }

    private void take(List<Action> actions) {
      log.addAll(actions);
      for (Action action : actions) {
        if (action instanceof Attempt a) {
          Request r = open.get(a.requestId());
          assertTrue(r != null, "sent after its answer: " + a);
          assertTrue(!draining.contains(a.server()), "sent to a draining server: " + a);
          assertTrue(out.get(r.id()).isEmpty(), "two attempts out: " + a);
          assertTrue(repeat != Repeat.AT_MOST_ONCE || !mayHaveRun.get(r.id()), "run twice: " + a);
          sent.get(r.id()).add(a);
          assertTrue(sent.get(r.id()).size() <= 3, "too many attempts: " + a);
          out.get(r.id()).add(sent.get(r.id()).size() - 1);
        } else if (action instanceof Refuse a) {
          boolean safe = repeat != Repeat.AT_MOST_ONCE || !mayHaveRun.get(a.requestId());
          assertTrue(
              safe && (repeat != Repeat.AT_MOST_ONCE || out.get(a.requestId()).isEmpty()), "" + a);
          answered(a.requestId());
        } else if (action instanceof Fail a) {
          answered(a.requestId());
        } else if (action instanceof Count c) {
          counts.add(c);
        } else if (action instanceof WakeAfter w) {
          wakes.put(w.token(), rig.now + w.micros());
        } else if (action instanceof Cancel c) {
          assertTrue(c.attempt() < sent.get(c.requestId()).size(), "never made: " + c);
        }
      }
    }

    private void answered(long id) {
      Request r = open.remove(id);
      assertTrue(r != null, "answered twice: " + id);
      assertTrue(rig.now <= r.giveUpAtMicros() + 16_000, "answered late: " + id);
    }
  }

  @Test
  void theModuleStaysReadable() throws Exception {
    List<String> lines = Files.readAllLines(Path.of("src/main/java/fawndock/Logic.java"));
    assertTrue(lines.stream().allMatch(line -> line.length() <= 110));
    assertTrue(String.join("\n", lines.subList(0, 20)).contains("Gatekeeper.java"));
  }
}
