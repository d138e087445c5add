package fawndock.policy.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.DefaultGatewayPolicy;
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
 * Thirty instances together: the attempts that reach an endpoint in slow start, counted as the rule
 * counts them.
 */
class SlowStartBudgetTest {
  private static final int FLEET = 30;
  private static final int ENDPOINTS = 12;
  private static final long SECOND = 1_000_000;
  private static final ServiceRules RULES =
      new ServiceRules(16_000, SECOND, 0.2, 10 * SECOND, 1.5, 2 * SECOND, 10 * SECOND);

  /** Requests a second of the fleet; a warm endpoint is loaded by four fifths of its capacity. */
  private static final double RATE = 900;

  private static final double CAPACITY = RATE / ENDPOINTS / 0.8;

  /** One simulated run of the thirty. */
  private static final class Run {
    private record Due(long at, int to, PolicyEvent event) {}

    private final Random random;
    private final DefaultGatewayPolicy[] fleet = new DefaultGatewayPolicy[FLEET];
    private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final List<Long> reached = new ArrayList<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final long begin = 100 * SECOND;
    private long id;

    Run(long seed) {
      random = new Random(seed);
    }

    private DefaultGatewayPolicy start(int me, long now, long startedAtMicros) {
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
      DefaultGatewayPolicy policy =
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
      for (int i = 0; i < ENDPOINTS; i++) {
        list.add(
            new Endpoint(
                "s" + i, "here", 0, EndpointState.RUNNING, 1, i == 4 ? startedAtMicros : 0));
      }
      policy.onEvent(now, new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, list));
      return policy;
    }

    private void run() {
      for (int i = 0; i < FLEET; i++) {
        fleet[i] = start(i, begin, 0);
      }
      // Some instances get several times the mean; a burst comes with the start. The endpoint comes
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
      long restartedAt = begin + 3 * SECOND;
      for (int i = 0; i < FLEET; i++) {
        due.add(
            new Due(
                restartedAt + random.nextInt(1_000_000),
                i,
                new EndpointUpdate(
                    EndpointUpdateKind.CHANGES,
                    List.of(
                        new Endpoint("s4", "here", 0, EndpointState.RUNNING, 1, restartedAt)))));
      }
      boolean restarted = false;
      for (Due next = due.poll();
          next != null && next.at < begin + 14 * SECOND;
          next = due.poll()) {
        if (!restarted && next.at > restartedAt + 2 * SECOND) {
          restarted = true; // A third of the instances start over, from the list as it is by then.
          for (int i = 0; i < FLEET; i += 3) {
            fleet[i] = start(i, next.at, restartedAt);
          }
        }
        take(next, fleet[next.to].onEvent(next.at, next.event), restartedAt + SECOND);
      }
    }

    private void take(Due from, List<PolicyAction> actions, long countFrom) {
      for (PolicyAction action : actions) {
        if (action instanceof ScheduleTimer w) {
          due.add(new Due(from.at + w.delayMicros(), from.to, new TimerFired(w.timer())));
        } else if (action instanceof StartAttempt a) {
          int number = attempts.merge(a.requestId(), 1, Integer::sum) - 1;
          long took = (long) (60_000 + random.nextInt(120_000));
          boolean isOk = random.nextInt(20) > 0;
          due.add(
              new Due(
                  from.at + took,
                  from.to,
                  new AttemptCompleted(
                      a.requestId(),
                      number,
                      a.endpointId(),
                      took,
                      isOk ? CallResult.OK : CallResult.ERROR,
                      isOk,
                      0,
                      LoadReport.NONE)));
          if (a.endpointId().equals("s4") && from.at >= countFrom) {
            reached.add(from.at);
          }
        }
      }
    }
  }

  @Test
  void thirtyInstances_keepToTheBudgetOfAnEndpointInSlowStart() {
    long all = 0;
    for (long seed = 1; seed <= 12; seed++) {
      Run run = new Run(seed);
      run.run();
      long restartedAt = run.begin + 3 * SECOND;
      for (int i = 0; i < run.reached.size(); i++) {
        long from = run.reached.get(i);
        long to = from + RULES.slowStartOverloadWindowMicros();
        long sent = run.reached.stream().filter(at -> at >= from && at < to).count();
        double factor =
            Math.min(
                1,
                RULES.slowStartInitialRatio()
                    + (1 - RULES.slowStartInitialRatio())
                        * (from - restartedAt)
                        / RULES.slowStartMicros());
        double budget =
            RULES.slowStartOverloadRatio()
                * factor
                * CAPACITY
                * RULES.slowStartOverloadWindowMicros()
                / 1e6;
        assertTrue(
            sent <= budget + 2 * Math.sqrt(budget) + 2,
            "seed " + seed + ": " + sent + " of " + budget);
      }
      all += run.reached.size();
    }
    assertTrue(all > 12 * 150, "it is used: " + all);
  }
}
