package fawndock;

import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.Gatekeeper.Action;
import fawndock.Gatekeeper.Attempt;
import fawndock.Gatekeeper.Availability;
import fawndock.Gatekeeper.Counter;
import fawndock.Gatekeeper.Event;
import fawndock.Gatekeeper.Group;
import fawndock.Gatekeeper.Limits;
import fawndock.Gatekeeper.Listing;
import fawndock.Gatekeeper.Outcome;
import fawndock.Gatekeeper.Plan;
import fawndock.Gatekeeper.Repeat;
import fawndock.Gatekeeper.Request;
import fawndock.Gatekeeper.RequestClass;
import fawndock.Gatekeeper.Result;
import fawndock.Gatekeeper.Rules;
import fawndock.Gatekeeper.Server;
import fawndock.Gatekeeper.Servers;
import fawndock.Gatekeeper.Settings;
import fawndock.Gatekeeper.Wake;
import fawndock.Gatekeeper.WakeAfter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Thirty gatekeepers together: what reaches a server that has just started, counted as the rule
 * counts it.
 */
class ColdFleetTest {
  private static final int FLEET = 30;
  private static final int SERVERS = 12;
  private static final long SECOND = 1_000_000;
  private static final Rules RULES =
      new Rules(16_000, SECOND, 0.2, 10 * SECOND, 1.5, 2 * SECOND, 10 * SECOND);

  /** Tries a second of the fleet, and what a warm server can do: it is loaded by four fifths. */
  private static final double RATE = 900;

  private static final double CAPACITY = RATE / SERVERS / 0.8;

  /** One play of the thirty. */
  private static final class Play {
    private record Due(long at, int to, Event event) {}

    private final Random random;
    private final Logic[] fleet = new Logic[FLEET];
    private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final List<Long> reached = new ArrayList<>();
    private final Map<Long, Integer> tries = new HashMap<>();
    private final long begin = 100 * SECOND;
    private long id;

    Play(long seed) {
      random = new Random(seed);
    }

    private Logic start(int me, long now, long coldSince) {
      RequestClass type =
          new RequestClass(
              "class", SECOND, 0, 3 * SECOND, 1, 0, Repeat.IDEMPOTENT, Group.ALL, SECOND, false);
      Logic logic =
          new Logic(
              new Settings(
                  me,
                  FLEET,
                  random.nextLong(),
                  2_000,
                  "here",
                  false,
                  List.of(type),
                  List.of(new Plan("plan", 0, 0, 0, 1, 0, 1, 0, 0, 0)),
                  new Limits(3, 1_000, SECOND, false, true, false, false, true),
                  RULES,
                  new Counter(false, 50_000, false)));
      List<Server> list = new ArrayList<>();
      for (int i = 0; i < SERVERS; i++) {
        list.add(new Server("s" + i, "here", 0, Availability.RUNNING, 1, i == 4 ? coldSince : 0));
      }
      logic.on(now, new Servers(Listing.COMPLETE, list));
      return logic;
    }

    private void run() {
      for (int i = 0; i < FLEET; i++) {
        fleet[i] = start(i, begin, 0);
      }
      // Some gatekeepers get several times the mean; a burst comes with the start. The server comes
      // back under its old name.
      for (double at = 0;
          at < 14e6;
          at +=
              -Math.log(1 - random.nextDouble()) * 1e6 / RATE / (at > 3e6 && at < 8e6 ? 1.5 : 1)) {
        int to = random.nextInt(4) == 0 ? random.nextInt(3) : random.nextInt(FLEET);
        long now = begin + (long) at;
        due.add(
            new Due(
                now,
                to,
                new Request(
                    ++id,
                    "class",
                    "plan",
                    "c" + random.nextInt(50),
                    now + 3 * SECOND,
                    1,
                    FLEET,
                    0,
                    false)));
      }
      long cold = begin + 3 * SECOND;
      for (int i = 0; i < FLEET; i++) {
        due.add(
            new Due(
                cold + random.nextInt(1_000_000),
                i,
                new Servers(
                    Listing.CHANGES,
                    List.of(new Server("s4", "here", 0, Availability.RUNNING, 1, cold)))));
      }
      boolean restarted = false;
      for (Due next = due.poll();
          next != null && next.at < begin + 14 * SECOND;
          next = due.poll()) {
        if (!restarted && next.at > cold + 2 * SECOND) {
          restarted =
              true; // A third of the gatekeepers start over, from the list as it is by then.
          for (int i = 0; i < FLEET; i += 3) {
            fleet[i] = start(i, next.at, cold);
          }
        }
        take(next, fleet[next.to].on(next.at, next.event), cold + SECOND);
      }
    }

    private void take(Due from, List<Action> actions, long told) {
      for (Action action : actions) {
        if (action instanceof WakeAfter w) {
          due.add(new Due(from.at + w.micros(), from.to, new Wake(w.token())));
        } else if (action instanceof Attempt a) {
          int number = tries.merge(a.requestId(), 1, Integer::sum) - 1;
          long took = (long) (60_000 + random.nextInt(120_000));
          boolean good = random.nextInt(20) > 0;
          due.add(
              new Due(
                  from.at + took,
                  from.to,
                  new Outcome(
                      a.requestId(),
                      number,
                      a.server(),
                      took,
                      good ? Result.OK : Result.ERROR,
                      good,
                      0,
                      Map.of())));
          if (a.server().equals("s4") && from.at >= told) {
            reached.add(from.at);
          }
        }
      }
    }
  }

  @Test
  void theFleetKeepsToTheBudgetOfAColdServer() {
    long all = 0;
    for (long seed = 1; seed <= 12; seed++) {
      Play play = new Play(seed);
      play.run();
      long cold = play.begin + 3 * SECOND;
      for (int i = 0; i < play.reached.size(); i++) {
        long from = play.reached.get(i);
        long to = from + RULES.fallMicros();
        long sent = play.reached.stream().filter(at -> at >= from && at < to).count();
        double warmth =
            Math.min(
                1,
                RULES.coldShare() + (1 - RULES.coldShare()) * (from - cold) / RULES.coldMicros());
        double budget = RULES.fallMultiple() * warmth * CAPACITY * RULES.fallMicros() / 1e6;
        assertTrue(
            sent <= budget + 2 * Math.sqrt(budget) + 2,
            "seed " + seed + ": " + sent + " of " + budget);
      }
      all += play.reached.size();
    }
    assertTrue(all > 12 * 150, "it is not left out: " + all);
  }
}
