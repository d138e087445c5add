package fawndock.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyHarness;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.LoadReport;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What an endpoint in slow start is sent by many instances. */
class SlowStartFleetTest extends FleetFixture {
  @Test
  void hundredsOfInstances_sendAnEndpointInSlowStartItsShareOnly() {
    List<Endpoint> endpoints = warmEndpoints(ENDPOINTS);
    endpoints.set(17, PolicyHarness.endpoint("s17", EndpointState.RUNNING, nowMicros));
    start(INSTANCES, endpoints);
    int warmingUp = 0;
    int all = 0;
    for (int id = 0; id < 20 * INSTANCES; id++) {
      nowMicros += 100;
      int instance = id % INSTANCES;
      for (StartAttempt a : onEvent(instance, request(id))) {
        all++;
        warmingUp += a.endpointId().equals("s17") ? 1 : 0;
        onEvent(
            instance,
            new AttemptCompleted(
                id, 0, a.endpointId(), 100_000, CallResult.OK, true, 0, LoadReport.NONE));
      }
    }
    assertEquals(20 * INSTANCES, all);
    assertTrue(warmingUp > 0 && warmingUp < all / ENDPOINTS / 2, warmingUp + " of " + all);
  }

  @Test
  void allEndpointsInSlowStart_takeLittle() {
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      endpoints.add(PolicyHarness.endpoint("s" + i, EndpointState.RUNNING, nowMicros));
    }
    start(40, endpoints);
    int sent = 0;
    for (int id = 0; id < 2000; id++) {
      nowMicros += 1_000;
      sent += onEvent(id % 40, request(id)).size();
    }
    assertTrue(sent > 0 && sent < 1200, sent + " of 2000");
  }
}
