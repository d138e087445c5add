package fawndock.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.CounterConfig;
import fawndock.policy.config.DeduplicationScope;
import fawndock.policy.config.GatewayLimits;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.config.RequestClass;
import fawndock.policy.config.ServiceRules;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.LoadReport;
import fawndock.policy.event.PolicyEvent;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.TimerFired;
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
  private static final ServiceRules RULES =
      new ServiceRules(16_000, SECOND, 0.2, 10 * SECOND, 1.5, 2 * SECOND, 10 * SECOND);

  /** Tries a second of the fleet, and what a warm server can do: it is loaded by four fifths. */
  private static final double RATE = 900;

  private static final double CAPACITY = RATE / SERVERS / 0.8;

  /** One play of the thirty. */
  private static final class Play {
    private record Due(long at, int to, PolicyEvent event) {}

    private final Random random;
    private final DefaultGatewayPolicy[] fleet = new DefaultGatewayPolicy[FLEET];
    private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final List<Long> reached = new ArrayList<>();
    private final Map<Long, Integer> tries = new HashMap<>();
    private final long begin = 100 * SECOND;
    private long id;

    Play(long seed) {
      random = new Random(seed);
    }

    private DefaultGatewayPolicy start(int me, long now, long coldSince) {
      RequestClass type =
          new RequestClass(
              "class",
              SECOND,
              0,
              3 * SECOND,
              1,
              0,
              Idempotency.IDEMPOTENT,
              DeduplicationScope.ALL,
              SECOND,
              false);
      DefaultGatewayPolicy logic =
          new DefaultGatewayPolicy(
              new PolicyConfig(
                  me,
                  FLEET,
                  random.nextLong(),
                  2_000,
                  "here",
                  false,
                  List.of(type),
                  List.of(new Plan("plan", 0, 0, 0, 1, 0, 1, 0, 0, 0)),
                  new GatewayLimits(3, 1_000, SECOND, false, true, false, false, true),
                  RULES,
                  new CounterConfig(false, 50_000, false)));
      List<Endpoint> list = new ArrayList<>();
      for (int i = 0; i < SERVERS; i++) {
        list.add(
            new Endpoint("s" + i, "here", 0, EndpointState.RUNNING, 1, i == 4 ? coldSince : 0));
      }
      logic.onEvent(now, new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, list));
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
                new RequestArrived(
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
                new EndpointUpdate(
                    EndpointUpdateKind.CHANGES,
                    List.of(new Endpoint("s4", "here", 0, EndpointState.RUNNING, 1, cold)))));
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
        take(next, fleet[next.to].onEvent(next.at, next.event), cold + SECOND);
      }
    }

    private void take(Due from, List<PolicyAction> actions, long told) {
      for (PolicyAction action : actions) {
        if (action instanceof ScheduleTimer w) {
          due.add(new Due(from.at + w.delayMicros(), from.to, new TimerFired(w.timer())));
        } else if (action instanceof StartAttempt a) {
          int number = tries.merge(a.requestId(), 1, Integer::sum) - 1;
          long took = (long) (60_000 + random.nextInt(120_000));
          boolean good = random.nextInt(20) > 0;
          due.add(
              new Due(
                  from.at + took,
                  from.to,
                  new AttemptCompleted(
                      a.requestId(),
                      number,
                      a.endpointId(),
                      took,
                      good ? CallResult.OK : CallResult.ERROR,
                      good,
                      0,
                      LoadReport.NONE)));
          if (a.endpointId().equals("s4") && from.at >= told) {
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
        long to = from + RULES.slowStartOverloadWindowMicros();
        long sent = play.reached.stream().filter(at -> at >= from && at < to).count();
        double warmth =
            Math.min(
                1,
                RULES.slowStartInitialRatio()
                    + (1 - RULES.slowStartInitialRatio())
                        * (from - cold)
                        / RULES.slowStartMicros());
        double budget =
            RULES.slowStartOverloadRatio()
                * warmth
                * CAPACITY
                * RULES.slowStartOverloadWindowMicros()
                / 1e6;
        assertTrue(
            sent <= budget + 2 * Math.sqrt(budget) + 2,
            "seed " + seed + ": " + sent + " of " + budget);
      }
      all += play.reached.size();
    }
    assertTrue(all > 12 * 150, "it is not left out: " + all);
  }
}
