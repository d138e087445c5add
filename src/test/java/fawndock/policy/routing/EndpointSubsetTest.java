package fawndock.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.action.StartAttempt;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.LoadReport;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Tests the subset of endpoints that each of many instances uses. */
class EndpointSubsetTest extends FleetFixture {
  @Test
  void instances_useFewEndpointsEachAndAllEndpointsTogether() {
    start(INSTANCES, warmEndpoints(ENDPOINTS));
    Map<String, Integer> attemptCounts = new TreeMap<>();
    for (int instance = 0; instance < INSTANCES; instance++) {
      Set<String> usedEndpoints = new TreeSet<>();
      for (int i = 0; i < 40; i++) {
        nowMicros += 100;
        long id = instance * 100L + i;
        StartAttempt sent = onEvent(instance, request(id)).get(0);
        usedEndpoints.add(sent.endpointId());
        attemptCounts.merge(sent.endpointId(), 1, Integer::sum);
        long latencyMicros = 50_000 + 2_000 * (id * 7_919 % 100);
        onEvent(
            instance,
            new AttemptCompleted(
                id, 0, sent.endpointId(), latencyMicros, CallResult.OK, true, 0, LoadReport.NONE));
      }
      assertTrue(
          usedEndpoints.size() <= 8, usedEndpoints.size() + " endpoints used by one instance");
    }
    int evenShare = 40 * INSTANCES / ENDPOINTS;
    assertEquals(ENDPOINTS, attemptCounts.size());
    assertTrue(
        attemptCounts.values().stream().allMatch(count -> count < 3 * evenShare),
        attemptCounts + ", even share " + evenShare + " attempts");
  }

  @Test
  void wholeSubsetFails_otherEndpointsAreTried() {
    start(INSTANCES, warmEndpoints(ENDPOINTS));
    Set<String> triedEndpoints = new TreeSet<>();
    for (int id = 0; id < 60; id++) {
      nowMicros += 1_000;
      List<StartAttempt> sent = onEvent(0, request(id));
      for (int attempt = 0; !sent.isEmpty(); attempt++) {
        triedEndpoints.add(sent.get(0).endpointId());
        sent =
            onEvent(
                0,
                new AttemptCompleted(
                    id,
                    attempt,
                    sent.get(0).endpointId(),
                    1_000,
                    CallResult.CONNECT_FAILED,
                    false,
                    0,
                    LoadReport.NONE));
      }
    }
    assertTrue(triedEndpoints.size() > 8, triedEndpoints + " endpoints tried");
  }
}
