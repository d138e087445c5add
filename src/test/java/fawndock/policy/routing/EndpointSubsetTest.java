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

/** The endpoints that each of many instances keeps to. */
class EndpointSubsetTest extends FleetFixture {
  @Test
  void instances_keepToFewEndpointsAndMeetAllTogether() {
    start(INSTANCES, warmEndpoints(ENDPOINTS));
    Map<String, Integer> met = new TreeMap<>();
    for (int instance = 0; instance < INSTANCES; instance++) {
      Set<String> known = new TreeSet<>();
      for (int i = 0; i < 40; i++) {
        nowMicros += 100;
        long id = instance * 100L + i;
        StartAttempt sent = onEvent(instance, request(id)).get(0);
        known.add(sent.endpointId());
        met.merge(sent.endpointId(), 1, Integer::sum);
        long took = 50_000 + 2_000 * (id * 7_919 % 100);
        onEvent(
            instance,
            new AttemptCompleted(
                id, 0, sent.endpointId(), took, CallResult.OK, true, 0, LoadReport.NONE));
      }
      assertTrue(known.size() <= 8, known.size() + " endpoints met by one instance");
    }
    int even = 40 * INSTANCES / ENDPOINTS;
    assertEquals(ENDPOINTS, met.size());
    assertTrue(
        met.values().stream().allMatch(n -> n < 3 * even), met + ", " + even + " would be even");
  }

  @Test
  void wholeSubsetFails_otherEndpointsAreTried() {
    start(INSTANCES, warmEndpoints(ENDPOINTS));
    Set<String> met = new TreeSet<>();
    for (int id = 0; id < 60; id++) {
      nowMicros += 1_000;
      List<StartAttempt> sent = onEvent(0, request(id));
      for (int attempt = 0; !sent.isEmpty(); attempt++) {
        met.add(sent.get(0).endpointId());
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
    assertTrue(met.size() > 8, met + " tried");
  }
}
