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

/** Tests the order in which requests get scarce capacity. */
class RequestPriorityTest extends QuotaFixture {
  @Test
  void scarceCapacity_goesToTheHigherPriorityPlanThenToTheLowerRisk() {
    Plan dear = new Plan("dear", 0, 0, 0, 2, 0, 1, 0, 0, 0);
    Plan cheap = new Plan("cheap", 0, 0, 0, 0.5, 0, 1, 0, 0, 0);
    PolicyConfig base =
        PolicyHarness.config(PolicyHarness.ratePlan(1, 4), Idempotency.IDEMPOTENT, true, true);
    PolicyHarness saturated =
        new PolicyHarness(
            new PolicyConfig(
                base.instanceIndex(),
                base.instanceCount(),
                base.randomSeed(),
                base.roundTripMicros(),
                base.zone(),
                false,
                base.requestClasses(),
                List.of(base.plans().get(0), dear, cheap),
                base.limits(),
                base.rules(),
                base.counter()),
            "a");
    throttle(saturated);
    for (long id = 1; id <= 2; id++) {
      allOf(StartAttempt.class, saturated.onEvent(request(saturated, id, "greedy")))
          .forEach(
              attempt ->
                  saturated.completeAttempt(
                      attempt.requestId(), 0, attempt.endpointId(), CallResult.OK, true));
    }
    long firstQueuedId = 10;
    while (!allOf(
            StartAttempt.class,
            saturated.onEvent(requestWithoutQuota(saturated, firstQueuedId, "dear")))
        .isEmpty()) {
      firstQueuedId++;
    }
    saturated.onEvent(requestWithoutQuota(saturated, 100, "cheap"));
    saturated.onEvent(request(saturated, 101, "greedy"));
    saturated.onEvent(request(saturated, 102, "calm"));
    saturated.onEvent(new TimerFired(new PolicyTimer.CounterWaitTimeout(101)));
    saturated.onEvent(new TimerFired(new PolicyTimer.CounterWaitTimeout(102)));
    List<Long> sendOrder = new ArrayList<>();
    for (long completedId = 10; completedId < 14; completedId++) {
      sendOrder.add(
          single(
                  StartAttempt.class,
                  saturated.completeAttempt(completedId, 0, "a", CallResult.OK, true))
              .requestId());
    }
    assertEquals(List.of(firstQueuedId, 102L, 101L, 100L), sendOrder);
  }

  private static RequestArrived requestWithoutQuota(PolicyHarness harness, long id, String plan) {
    return new RequestArrived(
        id,
        "class",
        plan,
        "customer",
        harness.nowMicros + 3 * PolicyHarness.SECOND_MICROS,
        1,
        2,
        0,
        false);
  }
}
