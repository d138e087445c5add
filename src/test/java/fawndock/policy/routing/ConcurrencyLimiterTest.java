package fawndock.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyHarness;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.TimerFired;
import org.junit.jupiter.api.Test;

/** Tests the limit on the attempts in flight. */
class ConcurrencyLimiterTest extends FleetFixture {
  @Test
  void start_hundredsOfInstancesDoNotOverloadTheEndpoints() {
    start(INSTANCES, warmEndpoints(ENDPOINTS));
    int inFlight = 0;
    for (int id = 0; id < 40 * INSTANCES; id++) {
      inFlight += onEvent(id % INSTANCES, request(id)).size();
    }
    assertTrue(inFlight >= 4 * ENDPOINTS, inFlight + " in flight use too few cores");
    assertTrue(inFlight <= 13 * ENDPOINTS, inFlight + " in flight at " + ENDPOINTS + " endpoints");
  }

  @Test
  void lostResponses_freeCapacityAfterTheLatencyObjective() {
    start(INSTANCES, warmEndpoints(ENDPOINTS));
    long id = 1;
    while (!onEvent(0, request(id)).isEmpty()) {
      id++;
    }
    assertTrue(id > 1, "no capacity at all");
    nowMicros += PolicyHarness.SECOND_MICROS;
    for (long inFlightId = 1; inFlightId < id; inFlightId++) {
      onEvent(0, new TimerFired(new PolicyTimer.LatencyObjectiveExceeded(inFlightId)));
    }
    assertEquals(1, onEvent(0, request(1_000)).size());
  }
}
