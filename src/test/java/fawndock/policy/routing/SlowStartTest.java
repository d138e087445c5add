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

/** What an endpoint in slow start is sent by one instance. */
class SlowStartTest {
  @Test
  void endpointInSlowStart_getsItsShareOnly() {
    PolicyHarness harness = gateway(Idempotency.IDEMPOTENT, "a", "b", "c");
    harness.onEvent(
        new EndpointUpdate(
            EndpointUpdateKind.CHANGES,
            List.of(PolicyHarness.endpoint("d", EndpointState.RUNNING, harness.nowMicros))));
    Map<String, Integer> sent = new LinkedHashMap<>();
    Map<Long, String> endpoints = new LinkedHashMap<>();
    for (long id = 1; id <= 200; id++) {
      harness.nowMicros += 10_000;
      for (StartAttempt a : allOf(StartAttempt.class, harness.request(id))) {
        sent.merge(a.endpointId(), 1, Integer::sum);
        endpoints.put(id, a.endpointId());
      }
      if (endpoints.containsKey(id - 10)) {
        harness.completeAttempt(id - 10, 0, endpoints.get(id - 10), CallResult.OK, true);
      }
    }
    int meanOfOthers = (sent.get("a") + sent.get("b") + sent.get("c")) / 3;
    assertTrue(sent.getOrDefault("d", 0) <= meanOfOthers / 2, sent.toString());
    assertTrue(sent.getOrDefault("d", 0) > 0, sent.toString());
  }

  private static PolicyHarness gateway(Idempotency repeat, String... endpoints) {
    return new PolicyHarness(
        PolicyHarness.config(PolicyHarness.ratePlan(0, 0), repeat, false, false), endpoints);
  }
}
