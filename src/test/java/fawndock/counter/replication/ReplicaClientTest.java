package fawndock.counter.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.counter.replication.ClientAction.CallEnded;
import fawndock.counter.replication.ClientAction.FetchMembership;
import fawndock.counter.replication.ClientAction.PushMembership;
import fawndock.counter.replication.ClientAction.SendSum;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.DecimalAmount;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests which node a client sends to. */
class ReplicaClientTest {
  private static final DecimalAmount ONE = new DecimalAmount(1, false);
  private static final long SETTINGS_VERSION = MembershipList.settingsVersion(1);
  private final ReplicaClient client =
      new ReplicaClient(7, List.of("a", "b"), new ClientTimeouts(10, 50, 100, 1_000));

  private final List<ClientAction> actions = new ArrayList<>();

  private SendSum startCall(long nowMillis) throws CommandException {
    actions.clear();
    client.add("n.1", ONE, 60_000, nowMillis, actions);
    return firstSentSum();
  }

  private SendSum firstSentSum() {
    return actions.stream()
        .filter(SendSum.class::isInstance)
        .map(SendSum.class::cast)
        .findFirst()
        .orElse(null);
  }

  private CallEnded callEnd() {
    return actions.stream()
        .filter(CallEnded.class::isInstance)
        .map(CallEnded.class::cast)
        .findFirst()
        .orElse(null);
  }

  private void tick(long nowMillis) {
    actions.clear();
    client.tick(nowMillis, actions);
  }

  private static String otherNode(String node) {
    return node.equals("a") ? "b" : "a";
  }

  @Test
  void slowNode_isHedgedWithinTheCallTimeout() throws CommandException {
    SendSum first = startCall(0);
    tick(9);
    assertEquals(null, firstSentSum());
    tick(10);
    assertEquals(otherNode(first.node()), firstSentSum().node());
    assertEquals(first.callId(), firstSentSum().callId());
    actions.clear();
    client.onTotal(otherNode(first.node()), first.callId(), 5, actions);
    assertEquals(CallOutcome.OK, callEnd().outcome());
    actions.clear();
    client.onTotal(first.node(), first.callId(), 5, actions);
    assertEquals(null, callEnd(), "a call ends only once");
  }

  @Test
  void silentNode_isSkippedUntilItReportsReady() throws CommandException {
    SendSum first = startCall(0);
    tick(101);
    assertFalse(client.isHealthy(first.node()));
    assertTrue(
        actions.stream()
            .anyMatch(
                action ->
                    action instanceof SendSum sum
                        && sum.callId() == 0
                        && sum.node().equals(otherNode(first.node()))),
        "the sums of the unhealthy node are not sent to the next node: " + actions);
    assertEquals(otherNode(first.node()), startCall(110).node());
    client.onHeartbeatReply(first.node(), true, SETTINGS_VERSION, actions);
    assertEquals(first.node(), startCall(120).node());
    tick(121);
    assertTrue(
        actions.stream()
            .anyMatch(
                action ->
                    action instanceof SendSum sum
                        && sum.callId() == 0
                        && sum.node().equals(first.node())),
        "a restarted node may have lost all sums");
    client.onHeartbeatReply(first.node(), false, SETTINGS_VERSION, actions);
    assertEquals(otherNode(first.node()), startCall(130).node());
  }

  @Test
  void lostConnectionOrRejection_movesTheCallToTheNextNode() throws CommandException {
    SendSum first = startCall(0);
    actions.clear();
    client.onConnectionLost(first.node(), 1, actions);
    assertEquals(otherNode(first.node()), firstSentSum().node());
    client.onHeartbeatReply(first.node(), true, SETTINGS_VERSION, actions);
    SendSum second = startCall(2);
    actions.clear();
    client.onRejected(second.node(), second.callId(), true, 3, actions);
    assertEquals(otherNode(second.node()), firstSentSum().node());
    assertFalse(client.isHealthy(second.node()));
  }

  @Test
  void callWithoutHealthyNode_isWithdrawn() throws CommandException {
    client.onConnectionLost("a", 0, actions);
    client.onConnectionLost("b", 0, actions);
    assertEquals(null, startCall(1));
    assertEquals(CallOutcome.UNREACHABLE, callEnd().outcome());
    client.onHeartbeatReply("a", true, SETTINGS_VERSION, actions);
    ReplicatedSum sum = startCall(2).sum();
    assertEquals("2", sum.added().toString());
    assertEquals("1", sum.withdrawn().toString());
  }

  @Test
  void newerMembershipList_isFetchedAndPushed() throws CommandException {
    SendSum first = startCall(0);
    MembershipList list = new MembershipList(2, Map.of("b", "h:1", "c", "h:2"));
    actions.clear();
    client.onHeartbeatReply("b", true, list.version(), actions);
    assertEquals(List.of(new FetchMembership("b")), actions);
    actions.clear();
    assertTrue(client.adoptMembership(list, 1, actions));
    if (first.node().equals("a")) {
      assertEquals("b", firstSentSum().node(), "the node of the call is off the list");
    }
    assertFalse(client.isHealthy("c"), "unhealthy until it reports that it is ready");
    assertFalse(client.adoptMembership(list, 2, actions));
    assertFalse(client.adoptMembership(new MembershipList(1, Map.of("a", "h:0")), 2, actions));
    actions.clear();
    client.onHeartbeatReply("c", true, SETTINGS_VERSION, actions);
    assertEquals(
        List.of(new PushMembership("c", list)),
        actions,
        "the node has started with the list in its settings");
    assertTrue(client.isHealthy("c"));
  }
}
