package fawndock.policy;

import static fawndock.policy.PolicyHarness.allOf;
import static fawndock.policy.PolicyHarness.single;
import static org.junit.jupiter.api.Assertions.assertEquals;

import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.TimerFired;
import fawndock.policy.quota.QuotaFixture;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order in which requests get scarce capacity. */
class RequestPriorityTest extends QuotaFixture {
  @Test
  void scarceCapacity_goesToTheDearerPlanThenToTheLesserRisk() {
    Plan dear = new Plan("dear", 0, 0, 0, 2, 0, 1, 0, 0, 0);
    Plan cheap = new Plan("cheap", 0, 0, 0, 0.5, 0, 1, 0, 0, 0);
    PolicyConfig s =
        PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true);
    PolicyHarness busy =
        new PolicyHarness(
            new PolicyConfig(
                s.instanceIndex(),
                s.instanceCount(),
                s.randomSeed(),
                s.roundTripMicros(),
                s.zone(),
                false,
                s.requestClasses(),
                List.of(s.plans().get(0), dear, cheap),
                s.limits(),
                s.rules(),
                s.counter()),
            "a");
    throttle(busy);
    for (long id = 1; id <= 2; id++) {
      allOf(StartAttempt.class, busy.onEvent(request(busy, id, "greedy")))
          .forEach(
              a -> busy.completeAttempt(a.requestId(), 0, a.endpointId(), CallResult.OK, true));
    }
    long last = 10;
    while (!allOf(StartAttempt.class, busy.onEvent(unmetered(busy, last, "dear"))).isEmpty()) {
      last++;
    }
    busy.onEvent(unmetered(busy, 100, "cheap"));
    busy.onEvent(request(busy, 101, "greedy"));
    busy.onEvent(request(busy, 102, "calm"));
    busy.onEvent(new TimerFired(new PolicyTimer.CounterWaitTimeout(101)));
    busy.onEvent(new TimerFired(new PolicyTimer.CounterWaitTimeout(102)));
    List<Long> order = new ArrayList<>();
    for (long done = 10; done < 14; done++) {
      order.add(
          single(StartAttempt.class, busy.completeAttempt(done, 0, "a", CallResult.OK, true))
              .requestId());
    }
    assertEquals(List.of(last, 102L, 101L, 100L), order);
  }

  private static RequestArrived unmetered(PolicyHarness on, long id, String plan) {
    return new RequestArrived(
        id,
        "class",
        plan,
        "customer",
        on.nowMicros + 3 * PolicyHarness.SECOND_MICROS,
        1,
        2,
        0,
        false);
  }
}
