package fawndock.simulatoradapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import fawndock.platformconfig.Json;
import fawndock.platformconfig.MalformedMessageException;
import fawndock.platformconfig.StringConstants;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.CancelAttempt;
import fawndock.policy.action.FailRequest;
import fawndock.policy.action.FetchEndpoints;
import fawndock.policy.action.LogMessage;
import fawndock.policy.action.PolicyAction;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.action.ScheduleTimer;
import fawndock.policy.action.SendPeerMessage;
import fawndock.policy.action.StartAttempt;
import fawndock.policy.action.StartHealthCheck;
import fawndock.policy.action.WatchEndpoints;
import fawndock.policy.event.AttemptCompleted;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.ClientDisconnected;
import fawndock.policy.event.CounterReply;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.HealthCheckCompleted;
import fawndock.policy.event.PeerMessageReceived;
import fawndock.policy.event.PolicyEvent;
import fawndock.policy.event.RequestArrived;
import fawndock.policy.event.ResponseStarted;
import fawndock.policy.event.TimerFired;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Golden lists of the names in the simulator's line protocol, and tests of what they mean. */
class SimulatorProtocolTest {
  private static PolicyEvent decode(String json) throws IOException {
    Json.JsonObject event = Json.parse(json.replace('\'', '"'));
    return SimulatorEventReader.decode(event.text("what"), event);
  }

  private static String endpointList(String state) {
    return "{'what':'Registry','kind':'full','members-list':[{'worker':'w','availability':'"
        + state
        + "'}]}";
  }

  /** Returns the adapter's output line for one action of instance 3. */
  private static String encode(PolicyAction action) throws IOException {
    GatewayPolicy policy = (nowMicros, event) -> List.of(action);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    String line =
        "{'now-us':1,'happened':[{'what':'Attach','i':3,'options':{}},{'what':'Expired','i':3,'op-id':1}]}\n"
            .replace('\'', '"');
    new SimulatorAdapter(config -> policy)
        .run(
            new ByteArrayInputStream(line.getBytes(StandardCharsets.UTF_8)),
            out,
            new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
    return out.toString(StandardCharsets.UTF_8);
  }

  private static void assertEncodes(String expected, PolicyAction action) throws IOException {
    assertEquals("{\"output\":[" + expected.replace('\'', '"') + "]}\n", encode(action));
  }

  @Test
  void fieldNamesAreThoseOfTheSimulator() throws Exception {
    assertEquals(
        StringConstants.sorted(
            "now-us happened output what i op-id try worker class tariff customer give-up-at-us"
                + " abandon-at-us price-units doors base attrs duration-us verdict terminal charged"
                + " stats book level by keep-for-us retry-after-us cookie span-us from dest body"
                + " text active options rng-seed kind members-list site pod availability"
                + " power-hint start-time-us"),
        StringConstants.of(SimulatorProtocol.class, "FIELD_"));
  }

  @Test
  void eventTypesAreThoseOfTheSimulator() throws Exception {
    assertEquals(
        StringConstants.sorted(
            "Attach Killed Call AttemptEnd Started HealthResult LedgerReply Expired Timer Mail"
                + " Registry"),
        StringConstants.of(SimulatorProtocol.class, "EVENT_"));
  }

  @Test
  void actionTypesAreThoseOfTheSimulator() throws Exception {
    assertEquals(
        StringConstants.sorted(
            "Route Decline Error Incr SetAlarm Cancel HealthCheck Tell Refresh Subscribe Remark"
                + " Exception"),
        StringConstants.of(SimulatorProtocol.class, "ACTION_"));
  }

  @Test
  void requestIsDecoded() throws Exception {
    assertEquals(
        new RequestArrived(7, "c", "p", "cu", 9, 1.5, 2, 1, true),
        decode(
            "{'what':'Call','op-id':7,'class':'c','tariff':'p','customer':'cu','give-up-at-us':9,"
                + "'price-units':1.5,'doors':2,'base':1,'attrs':2}"));
  }

  @Test
  void attemptIsDecoded() throws Exception {
    AttemptCompleted event =
        (AttemptCompleted)
            decode(
                "{'what':'AttemptEnd','op-id':7,'try':1,'worker':'w','duration-us':5,"
                    + "'verdict':'delivered','terminal':true,'charged':2.5,'stats':{'backlog':4}}");
    assertEquals(7, event.requestId());
    assertEquals(1, event.attemptIndex());
    assertEquals("w", event.endpointId());
    assertEquals(5, event.latencyMicros());
    assertEquals(CallResult.OK, event.result());
    assertEquals(true, event.isFinal());
    assertEquals(2.5, event.settledUnits());
  }

  @Test
  void resultsAreDecoded() throws Exception {
    Map<String, CallResult> results =
        Map.of(
            "delivered", CallResult.OK,
            "app_error", CallResult.ERROR,
            "shed", CallResult.SHED,
            "expired", CallResult.TIMEOUT,
            "dial_failed", CallResult.CONNECT_FAILED,
            "dropped", CallResult.RESET,
            "revoked", CallResult.CANCELLED,
            "unused", CallResult.NOT_SENT);
    for (Map.Entry<String, CallResult> entry : results.entrySet()) {
      HealthCheckCompleted event =
          (HealthCheckCompleted)
              decode("{'what':'HealthResult','worker':'w','verdict':'" + entry.getKey() + "'}");
      assertEquals(entry.getValue(), event.result());
    }
  }

  @Test
  void otherEventsAreDecoded() throws Exception {
    assertEquals(
        new ResponseStarted(7, 1, "w"),
        decode("{'what':'Started','op-id':7,'try':1,'worker':'w'}"));
    assertEquals(
        new CounterReply("r7.0", CallResult.OK, 2.5, 9),
        decode(
            "{'what':'LedgerReply','book':'r7.0','verdict':'delivered','level':2.5,"
                + "'duration-us':9}"));
    assertEquals(new ClientDisconnected(7), decode("{'what':'Expired','op-id':7}"));
    assertEquals(
        new TimerFired(TimerCodec.decode("end:7")), decode("{'what':'Timer','cookie':'end:7'}"));
    assertEquals(new PeerMessageReceived(2, "m"), decode("{'what':'Mail','from':2,'body':'m'}"));
  }

  @Test
  void endpointListsAreDecoded() throws Exception {
    Map<String, EndpointUpdateKind> kinds =
        Map.of(
            "delta", EndpointUpdateKind.CHANGES,
            "full", EndpointUpdateKind.SNAPSHOT,
            "cached", EndpointUpdateKind.CACHED,
            "failed", EndpointUpdateKind.FAILED);
    for (Map.Entry<String, EndpointUpdateKind> entry : kinds.entrySet()) {
      assertEquals(
          new EndpointUpdate(
              entry.getValue(), List.of(new Endpoint("w", "z", 3, EndpointState.DRAINING, 0.5, 4))),
          decode(
              "{'what':'Registry','kind':'"
                  + entry.getKey()
                  + "','members-list':[{'worker':'w','site':'z','pod':3,"
                  + "'availability':'Stopping','power-hint':0.5,'start-time-us':4}]}"));
    }
  }

  @Test
  void endpointStatesAreThoseOfTheSimulator() throws Exception {
    Map<String, EndpointState> states =
        Map.of(
            "Running", EndpointState.RUNNING,
            "running", EndpointState.RUNNING,
            "Stopping", EndpointState.DRAINING,
            "Deleted", EndpointState.REMOVED);
    for (Map.Entry<String, EndpointState> entry : states.entrySet()) {
      EndpointUpdate update = (EndpointUpdate) decode(endpointList(entry.getKey()));
      assertEquals(entry.getValue(), update.endpoints().get(0).state(), entry.getKey());
    }
    for (String unknownState : List.of("Draining", "Removed", "")) {
      assertThrows(
          MalformedMessageException.class, () -> decode(endpointList(unknownState)), unknownState);
    }
  }

  @Test
  void actionsOfRequestsAreEncoded() throws Exception {
    assertEncodes(
        "{'what':'Route','i':3,'op-id':7,'worker':'w','abandon-at-us':9}",
        new StartAttempt(7, "w", 9));
    assertEncodes("{'what':'Decline','i':3,'op-id':7,'retry-after-us':9}", new RejectRequest(7, 9));
    assertEncodes("{'what':'Error','i':3,'op-id':7}", new FailRequest(7));
    assertEncodes("{'what':'Cancel','i':3,'op-id':7,'try':1}", new CancelAttempt(7, 1));
  }

  @Test
  void otherActionsAreEncoded() throws Exception {
    assertEncodes(
        "{'what':'Incr','i':3,'book':'r7.0','by':2.5,'keep-for-us':9}",
        new AddToCounter("r7.0", 2.5, 9));
    assertEncodes(
        "{'what':'SetAlarm','i':3,'span-us':9,'cookie':'end:7'}",
        new ScheduleTimer(9, TimerCodec.decode("end:7")));
    assertEncodes("{'what':'HealthCheck','i':3,'worker':'w'}", new StartHealthCheck("w"));
    assertEncodes("{'what':'Tell','i':3,'dest':2,'body':'m'}", new SendPeerMessage(2, "m"));
    assertEncodes("{'what':'Tell','i':3,'dest':'*','body':'m'}", new SendPeerMessage(-1, "m"));
    assertEncodes("{'what':'Refresh','i':3}", new FetchEndpoints());
    assertEncodes("{'what':'Subscribe','i':3,'active':true}", new WatchEndpoints());
    assertEncodes("{'what':'Remark','i':3,'text':'t'}", new LogMessage("t"));
  }
}
