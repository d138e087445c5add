package fawndock.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import fawndock.policy.action.StartAttempt;
import fawndock.policy.routing.FleetFixture;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests several policies in one process. */
class InstanceIsolationTest extends FleetFixture {
  @Test
  void oneInstanceAndOneEndpoint_sendTheRequest() {
    start(1, warmEndpoints(1));
    assertEquals(1, onEvent(0, request(1)).size());
  }

  @Test
  void instancesInOneProcess_shareNoState() {
    start(3, warmEndpoints(4));
    List<List<StartAttempt>> interleaved = new ArrayList<>();
    for (int id = 0; id < 60; id++) {
      interleaved.add(onEvent(id % 3, request(id)));
    }
    fleet.clear();
    start(3, warmEndpoints(4));
    for (int instance = 0; instance < 3; instance++) {
      for (int id = instance; id < 60; id += 3) {
        assertEquals(interleaved.get(id), onEvent(instance, request(id)));
      }
    }
  }
}
