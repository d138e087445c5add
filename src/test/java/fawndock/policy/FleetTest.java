package fawndock.policy;

import static fawndock.policy.PolicyHarness.allOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.action.StartAttempt;
import fawndock.policy.config.Idempotency;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.LoadReport;
import fawndock.policy.event.PolicyEvent;
import fawndock.policy.event.PolicyTimer;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.TimerFired;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** What many gatekeepers do together, each seeing a sliver of the traffic. */
class FleetTest {
  private static final int GATEKEEPERS = 300;
  private static final int SERVERS = 60;
  private long now = 100 * PolicyHarness.SECOND_MICROS;
  private final List<GatewayPolicy> fleet = new ArrayList<>();

  private void start(int gatekeepers, List<Endpoint> servers) {
    PolicyConfig s =
        PolicyHarness.config(PolicyHarness.ratePlan(0, 0), Idempotency.IDEMPOTENT, false, false);
    for (int i = 0; i < gatekeepers; i++) {
      fleet.add(
          new DefaultGatewayPolicy(
              new PolicyConfig(
                  i,
                  gatekeepers,
                  i,
                  s.roundTripMicros(),
                  s.zone(),
                  false,
                  s.requestClasses(),
                  s.plans(),
                  s.limits(),
                  s.rules(),
                  s.counter())));
      on(i, new EndpointUpdate(EndpointUpdateKind.CACHED, servers));
    }
  }

  private List<StartAttempt> on(int gatekeeper, PolicyEvent event) {
    return allOf(StartAttempt.class, fleet.get(gatekeeper).onEvent(now, event));
  }

  private static List<Endpoint> warm(int count) {
    List<Endpoint> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      servers.add(PolicyHarness.endpoint("s" + i, EndpointState.RUNNING, 0));
    }
    return servers;
  }

  private RequestArrived request(long id) {
    return new RequestArrived(
        id, "class", "plan", "customer", now + 3 * PolicyHarness.SECOND_MICROS, 1, 2, 0, false);
  }

  @Test
  void hundredsOfGatekeepersSendAColdServerItsShareOnly() {
    List<Endpoint> servers = warm(SERVERS);
    servers.set(17, PolicyHarness.endpoint("s17", EndpointState.RUNNING, now));
    start(GATEKEEPERS, servers);
    int cold = 0;
    int all = 0;
    for (int id = 0; id < 20 * GATEKEEPERS; id++) {
      now += 100;
      int gatekeeper = id % GATEKEEPERS;
      for (StartAttempt a : on(gatekeeper, request(id))) {
        all++;
        cold += a.endpointId().equals("s17") ? 1 : 0;
        on(
            gatekeeper,
            new AttemptCompleted(
                id, 0, a.endpointId(), 100_000, CallResult.OK, true, 0, LoadReport.NONE));
      }
    }
    assertEquals(20 * GATEKEEPERS, all);
    assertTrue(cold > 0 && cold < all / SERVERS / 2, cold + " of " + all);
  }

  @Test
  void hundredsOfGatekeepersDoNotFloodAFleetAtTheStart() {
    start(GATEKEEPERS, warm(SERVERS));
    int out = 0;
    for (int id = 0; id < 40 * GATEKEEPERS; id++) {
      out += on(id % GATEKEEPERS, request(id)).size();
    }
    assertTrue(out >= 4 * SERVERS, out + " out keep too few cores at work");
    assertTrue(out <= 13 * SERVERS, out + " out at " + SERVERS + " servers");
  }

  @Test
  void eachGatekeeperKeepsToFewServersAndAllServersAreMet() {
    start(GATEKEEPERS, warm(SERVERS));
    Map<String, Integer> met = new TreeMap<>();
    for (int gatekeeper = 0; gatekeeper < GATEKEEPERS; gatekeeper++) {
      Set<String> known = new TreeSet<>();
      for (int i = 0; i < 40; i++) {
        now += 100;
        long id = gatekeeper * 100L + i;
        StartAttempt sent = on(gatekeeper, request(id)).get(0);
        known.add(sent.endpointId());
        met.merge(sent.endpointId(), 1, Integer::sum);
        long took = 50_000 + 2_000 * (id * 7_919 % 100);
        on(
            gatekeeper,
            new AttemptCompleted(
                id, 0, sent.endpointId(), took, CallResult.OK, true, 0, LoadReport.NONE));
      }
      assertTrue(known.size() <= 8, known.size() + " servers met by one gatekeeper");
    }
    int even = 40 * GATEKEEPERS / SERVERS;
    assertEquals(SERVERS, met.size());
    assertTrue(
        met.values().stream().allMatch(n -> n < 3 * even), met + ", " + even + " would be even");
  }

  @Test
  void aGatekeeperWhoseFewServersAllFailLooksFurther() {
    start(GATEKEEPERS, warm(SERVERS));
    Set<String> met = new TreeSet<>();
    for (int id = 0; id < 60; id++) {
      now += 1_000;
      List<StartAttempt> sent = on(0, request(id));
      for (int attempt = 0; !sent.isEmpty(); attempt++) {
        met.add(sent.get(0).endpointId());
        sent =
            on(
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

  @Test
  void lostAnswersDoNotHoldTheRoomUntilTheClientsGiveUp() {
    start(GATEKEEPERS, warm(SERVERS));
    long id = 1;
    while (!on(0, request(id)).isEmpty()) {
      id++;
    }
    assertTrue(id > 1, "no room at all");
    now += PolicyHarness.SECOND_MICROS;
    for (long out = 1; out < id; out++) {
      on(0, new TimerFired(new PolicyTimer.LatencyObjectiveExceeded(out)));
    }
    assertEquals(1, on(0, request(1_000)).size());
  }

  @Test
  void allServersColdTakeLittle() {
    List<Endpoint> servers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      servers.add(PolicyHarness.endpoint("s" + i, EndpointState.RUNNING, now));
    }
    start(40, servers);
    int sent = 0;
    for (int id = 0; id < 2000; id++) {
      now += 1_000;
      sent += on(id % 40, request(id)).size();
    }
    assertTrue(sent > 0 && sent < 1200, sent + " of 2000");
  }

  @Test
  void oneGatekeeperAndOneServerWork() {
    start(1, warm(1));
    assertEquals(1, on(0, request(1)).size());
  }

  @Test
  void instancesInOneProcessShareNothing() {
    start(3, warm(4));
    List<List<StartAttempt>> together = new ArrayList<>();
    for (int id = 0; id < 60; id++) {
      together.add(on(id % 3, request(id)));
    }
    fleet.clear();
    start(3, warm(4));
    for (int gatekeeper = 0; gatekeeper < 3; gatekeeper++) {
      for (int id = gatekeeper; id < 60; id += 3) {
        assertEquals(together.get(id), on(gatekeeper, request(id)));
      }
    }
  }
}
