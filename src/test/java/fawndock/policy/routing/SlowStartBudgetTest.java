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
 * Tests that thirty instances together send an endpoint in slow start no more attempts than the
 * rule of the site allows, counted over the same period.
 */
class SlowStartBudgetTest {
  private static final int INSTANCES = 30;
  private static final int ENDPOINTS = 12;
  private static final long SECOND_MICROS = 1_000_000;
  private static final ServiceRules RULES =
      new ServiceRules(
          16_000,
          SECOND_MICROS,
          0.2,
          10 * SECOND_MICROS,
          1.5,
          2 * SECOND_MICROS,
          10 * SECOND_MICROS);

  /** Requests per second of the fleet, which use four fifths of the capacity of a warm endpoint. */
  private static final double REQUESTS_PER_SECOND = 900;

  private static final double ENDPOINT_REQUESTS_PER_SECOND = REQUESTS_PER_SECOND / ENDPOINTS / 0.8;

  /** Simulates one run of the thirty instances. */
  private static final class Simulation {
    /** An event that an instance receives at a set time. */
    private record ScheduledEvent(long atMicros, int instance, PolicyEvent event) {}

    private final Random random;
    private final DefaultGatewayPolicy[] fleet = new DefaultGatewayPolicy[INSTANCES];
    private final PriorityQueue<ScheduledEvent> events =
        new PriorityQueue<>((a, b) -> Long.compare(a.atMicros, b.atMicros));
    private final List<Long> attemptTimesMicros = new ArrayList<>();
    private final Map<Long, Integer> attemptCounts = new HashMap<>();
    private final long startMicros = 100 * SECOND_MICROS;
    private long lastRequestId;

    Simulation(long seed) {
      random = new Random(seed);
    }

    private DefaultGatewayPolicy start(int instance, long nowMicros, long startedAtMicros) {
      RequestClass requestClass =
          new RequestClass(
              "class",
              SECOND_MICROS,
              0,
              3 * SECOND_MICROS,
              1,
              0,
              Idempotency.IDEMPOTENT,
              DeduplicationScope.ALL,
              SECOND_MICROS,
              false);
      DefaultGatewayPolicy policy =
          new DefaultGatewayPolicy(
              new PolicyConfig(
                  instance,
                  INSTANCES,
                  random.nextLong(),
                  2_000,
                  "here",
                  false,
                  List.of(requestClass),
                  List.of(new Plan("plan", 0, 0, 0, 1, 0, 1, 0, 0, 0)),
                  new GatewayLimits(3, 1_000, SECOND_MICROS, false, true, false, false, true),
                  RULES,
                  new CounterConfig(false, 50_000, false)));
      List<Endpoint> endpoints = new ArrayList<>();
      for (int i = 0; i < ENDPOINTS; i++) {
        endpoints.add(
            new Endpoint(
                "s" + i, "here", 0, EndpointState.RUNNING, 1, i == 4 ? startedAtMicros : 0));
      }
      policy.onEvent(nowMicros, new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints));
      return policy;
    }

    private void run() {
      for (int i = 0; i < INSTANCES; i++) {
        fleet[i] = start(i, startMicros, 0);
      }
      // Three instances receive several times the mean traffic. The traffic is higher for five
      // seconds from the restart of the endpoint, which keeps its id.
      for (double offsetMicros = 0;
          offsetMicros < 14e6;
          offsetMicros +=
              -Math.log(1 - random.nextDouble())
                  * 1e6
                  / REQUESTS_PER_SECOND
                  / (offsetMicros > 3e6 && offsetMicros < 8e6 ? 1.5 : 1)) {
        int instance = random.nextInt(4) == 0 ? random.nextInt(3) : random.nextInt(INSTANCES);
        long nowMicros = startMicros + (long) offsetMicros;
        events.add(
            new ScheduledEvent(
                nowMicros,
                instance,
                new RequestArrived(
                    ++lastRequestId,
                    "class",
                    "plan",
                    "c" + random.nextInt(50),
                    nowMicros + 3 * SECOND_MICROS,
                    1,
                    INSTANCES,
                    0,
                    false)));
      }
      long restartedAtMicros = startMicros + 3 * SECOND_MICROS;
      for (int i = 0; i < INSTANCES; i++) {
        events.add(
            new ScheduledEvent(
                restartedAtMicros + random.nextInt(1_000_000),
                i,
                new EndpointUpdate(
                    EndpointUpdateKind.CHANGES,
                    List.of(
                        new Endpoint(
                            "s4", "here", 0, EndpointState.RUNNING, 1, restartedAtMicros)))));
      }
      boolean isRestarted = false;
      for (ScheduledEvent next = events.poll();
          next != null && next.atMicros < startMicros + 14 * SECOND_MICROS;
          next = events.poll()) {
        if (!isRestarted && next.atMicros > restartedAtMicros + 2 * SECOND_MICROS) {
          isRestarted = true; // A third of the instances restart with the current endpoint list.
          for (int i = 0; i < INSTANCES; i += 3) {
            fleet[i] = start(i, next.atMicros, restartedAtMicros);
          }
        }
        carryOut(
            next,
            fleet[next.instance].onEvent(next.atMicros, next.event),
            restartedAtMicros + SECOND_MICROS);
      }
    }

    private void carryOut(ScheduledEvent source, List<PolicyAction> actions, long countFromMicros) {
      for (PolicyAction action : actions) {
        if (action instanceof ScheduleTimer timer) {
          events.add(
              new ScheduledEvent(
                  source.atMicros + timer.delayMicros(),
                  source.instance,
                  new TimerFired(timer.timer())));
        } else if (action instanceof StartAttempt attempt) {
          int attemptIndex = attemptCounts.merge(attempt.requestId(), 1, Integer::sum) - 1;
          long latencyMicros = (long) (60_000 + random.nextInt(120_000));
          boolean isOk = random.nextInt(20) > 0;
          events.add(
              new ScheduledEvent(
                  source.atMicros + latencyMicros,
                  source.instance,
                  new AttemptCompleted(
                      attempt.requestId(),
                      attemptIndex,
                      attempt.endpointId(),
                      latencyMicros,
                      isOk ? CallResult.OK : CallResult.ERROR,
                      isOk,
                      0,
                      LoadReport.NONE)));
          if (attempt.endpointId().equals("s4") && source.atMicros >= countFromMicros) {
            attemptTimesMicros.add(source.atMicros);
          }
        }
      }
    }
  }

  @Test
  void thirtyInstances_stayWithinTheBudgetOfAnEndpointInSlowStart() {
    long totalAttempts = 0;
    for (long seed = 1; seed <= 12; seed++) {
      Simulation simulation = new Simulation(seed);
      simulation.run();
      long restartedAtMicros = simulation.startMicros + 3 * SECOND_MICROS;
      for (int i = 0; i < simulation.attemptTimesMicros.size(); i++) {
        long windowStartMicros = simulation.attemptTimesMicros.get(i);
        long windowEndMicros = windowStartMicros + RULES.slowStartOverloadWindowMicros();
        long attempts =
            simulation.attemptTimesMicros.stream()
                .filter(at -> at >= windowStartMicros && at < windowEndMicros)
                .count();
        double capacityRatio =
            Math.min(
                1,
                RULES.slowStartInitialRatio()
                    + (1 - RULES.slowStartInitialRatio())
                        * (windowStartMicros - restartedAtMicros)
                        / RULES.slowStartMicros());
        double budgetAttempts =
            RULES.slowStartOverloadRatio()
                * capacityRatio
                * ENDPOINT_REQUESTS_PER_SECOND
                * RULES.slowStartOverloadWindowMicros()
                / 1e6;
        assertTrue(
            attempts <= budgetAttempts + 2 * Math.sqrt(budgetAttempts) + 2,
            "seed " + seed + ": " + attempts + " attempts, budget " + budgetAttempts);
      }
      totalAttempts += simulation.attemptTimesMicros.size();
    }
    assertTrue(
        totalAttempts > 12 * 150,
        "too few attempts at the endpoint in slow start: " + totalAttempts);
  }
}
