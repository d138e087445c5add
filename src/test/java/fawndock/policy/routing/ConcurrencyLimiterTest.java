package fawndock.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.PolicyHarness;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.TimerFired;
import org.junit.jupiter.api.Test;

/** How many attempts may be in flight. */
class ConcurrencyLimiterTest extends FleetFixture {
  @Test
  void start_hundredsOfInstancesDoNotOverloadTheEndpoints() {
    start(INSTANCES, warmEndpoints(ENDPOINTS));
    int out = 0;
    for (int id = 0; id < 40 * INSTANCES; id++) {
      out += onEvent(id % INSTANCES, request(id)).size();
    }
    assertTrue(out >= 4 * ENDPOINTS, out + " out keep too few cores at work");
    assertTrue(out <= 13 * ENDPOINTS, out + " in flight at " + ENDPOINTS + " endpoints");
  }

  @Test
  void lostAnswers_freeCapacityAfterTheLatencyObjective() {
    start(INSTANCES, warmEndpoints(ENDPOINTS));
    long id = 1;
    while (!onEvent(0, request(id)).isEmpty()) {
      id++;
    }
    assertTrue(id > 1, "no capacity at all");
    nowMicros += PolicyHarness.SECOND_MICROS;
    for (long out = 1; out < id; out++) {
      onEvent(0, new TimerFired(new PolicyTimer.LatencyObjectiveExceeded(out)));
    }
    assertEquals(1, onEvent(0, request(1_000)).size());
  }
}
