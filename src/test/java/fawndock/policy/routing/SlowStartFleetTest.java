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

/** Tests the traffic that many instances send to an endpoint in slow start. */
class SlowStartFleetTest extends FleetFixture {
  @Test
  void hundredsOfInstances_sendTheReducedShareToAnEndpointInSlowStart() {
    List<Endpoint> endpoints = warmEndpoints(ENDPOINTS);
    endpoints.set(17, PolicyHarness.endpoint("s17", EndpointState.RUNNING, nowMicros));
    start(INSTANCES, endpoints);
    int slowStartAttempts = 0;
    int allAttempts = 0;
    for (int id = 0; id < 20 * INSTANCES; id++) {
      nowMicros += 100;
      int instance = id % INSTANCES;
      for (StartAttempt attempt : onEvent(instance, request(id))) {
        allAttempts++;
        slowStartAttempts += attempt.endpointId().equals("s17") ? 1 : 0;
        onEvent(
            instance,
            new AttemptCompleted(
                id, 0, attempt.endpointId(), 100_000, CallResult.OK, true, 0, LoadReport.NONE));
      }
    }
    assertEquals(20 * INSTANCES, allAttempts);
    assertTrue(
        slowStartAttempts > 0 && slowStartAttempts < allAttempts / ENDPOINTS / 2,
        slowStartAttempts + " of " + allAttempts);
  }

  @Test
  void allEndpointsInSlowStart_receiveFewRequests() {
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
