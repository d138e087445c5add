package fawndock.policy.routing;

import static fawndock.policy.PolicyHarness.allOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.Idempotency;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the traffic that one instance sends to an endpoint in slow start. */
class SlowStartTest {
  @Test
  void endpointInSlowStart_receivesItsReducedShare() {
    PolicyHarness harness = gateway(Idempotency.IDEMPOTENT, "a", "b", "c");
    harness.onEvent(
        new EndpointUpdate(
            EndpointUpdateKind.CHANGES,
            List.of(PolicyHarness.endpoint("d", EndpointState.RUNNING, harness.nowMicros))));
    Map<String, Integer> attemptCounts = new LinkedHashMap<>();
    Map<Long, String> endpointIds = new LinkedHashMap<>();
    for (long id = 1; id <= 200; id++) {
      harness.nowMicros += 10_000;
      for (StartAttempt attempt : allOf(StartAttempt.class, harness.request(id))) {
        attemptCounts.merge(attempt.endpointId(), 1, Integer::sum);
        endpointIds.put(id, attempt.endpointId());
      }
      if (endpointIds.containsKey(id - 10)) {
        harness.completeAttempt(id - 10, 0, endpointIds.get(id - 10), CallResult.OK, true);
      }
    }
    int meanOfOthers =
        (attemptCounts.get("a") + attemptCounts.get("b") + attemptCounts.get("c")) / 3;
    assertTrue(attemptCounts.getOrDefault("d", 0) <= meanOfOthers / 2, attemptCounts.toString());
    assertTrue(attemptCounts.getOrDefault("d", 0) > 0, attemptCounts.toString());
  }

  private static PolicyHarness gateway(Idempotency idempotency, String... endpoints) {
    return new PolicyHarness(
        PolicyHarness.config(PolicyHarness.ratePlan(0, 0), idempotency, false, false), endpoints);
  }
}
