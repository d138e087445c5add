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

/** Which node a gateway sends to, step by step. */
class ReplicaClientTest {
  private static final DecimalAmount ONE = new DecimalAmount(1, false);
  private static final long V1 = MembershipList.settingsVersion(1);
  private final ReplicaClient client =
      new ReplicaClient(7, List.of("a", "b"), new ClientTimeouts(10, 50, 100, 1_000));

  private final List<ClientAction> out = new ArrayList<>();

  private SendSum call(long now) throws CommandException {
    out.clear();
    client.add("n.1", ONE, 60_000, now, out);
    return sent();
  }

  private SendSum sent() {
    return out.stream()
        .filter(SendSum.class::isInstance)
        .map(SendSum.class::cast)
        .findFirst()
        .orElse(null);
  }

  private CallEnded ended() {
    return out.stream()
        .filter(CallEnded.class::isInstance)
        .map(CallEnded.class::cast)
        .findFirst()
        .orElse(null);
  }

  private void tick(long now) {
    out.clear();
    client.tick(now, out);
  }

  private static String other(String node) {
    return node.equals("a") ? "b" : "a";
  }

  @Test
  void silentNode_isHedgedWithinTheCall() throws CommandException {
    SendSum first = call(0);
    tick(9);
    assertEquals(null, sent());
    tick(10);
    assertEquals(other(first.node()), sent().node());
    assertEquals(first.callId(), sent().callId());
    out.clear();
    client.onTotal(other(first.node()), first.callId(), 5, out);
    assertEquals(CallOutcome.OK, ended().outcome());
    out.clear();
    client.onTotal(first.node(), first.callId(), 5, out);
    assertEquals(null, ended(), "ended once");
  }

  @Test
  void silentNode_isSkippedUntilItIsReadyAgain() throws CommandException {
    SendSum first = call(0);
    tick(101);
    assertFalse(client.isHealthy(first.node()));
    assertTrue(
        out.stream()
            .anyMatch(
                o ->
                    o instanceof SendSum a
                        && a.callId() == 0
                        && a.node().equals(other(first.node()))),
        "what only the lost one had is sent to the next: " + out);
    assertEquals(other(first.node()), call(110).node());
    client.onHeartbeatReply(first.node(), true, V1, out);
    assertEquals(first.node(), call(120).node());
    tick(121);
    assertTrue(
        out.stream()
            .anyMatch(
                o -> o instanceof SendSum a && a.callId() == 0 && a.node().equals(first.node())),
        "it may have come back with nothing");
    client.onHeartbeatReply(first.node(), false, V1, out);
    assertEquals(other(first.node()), call(130).node());
  }

  @Test
  void lostConnectionOrRejection_goesToTheNextNodeAtOnce() throws CommandException {
    SendSum first = call(0);
    out.clear();
    client.onConnectionLost(first.node(), 1, out);
    assertEquals(other(first.node()), sent().node());
    client.onHeartbeatReply(first.node(), true, V1, out);
    SendSum second = call(2);
    out.clear();
    client.onRejected(second.node(), second.callId(), true, 3, out);
    assertEquals(other(second.node()), sent().node());
    assertFalse(client.isHealthy(second.node()));
  }

  @Test
  void unreachableCall_isWithdrawn() throws CommandException {
    client.onConnectionLost("a", 0, out);
    client.onConnectionLost("b", 0, out);
    assertEquals(null, call(1));
    assertEquals(CallOutcome.UNREACHABLE, ended().outcome());
    client.onHeartbeatReply("a", true, V1, out);
    ReplicatedSum sum = call(2).sum();
    assertEquals("2", sum.added().toString());
    assertEquals("1", sum.withdrawn().toString());
  }

  @Test
  void newerMembershipList_isFetchedAndPushedBack() throws CommandException {
    SendSum first = call(0);
    MembershipList list = new MembershipList(2, Map.of("b", "h:1", "c", "h:2"));
    out.clear();
    client.onHeartbeatReply("b", true, list.version(), out);
    assertEquals(List.of(new FetchMembership("b")), out);
    out.clear();
    assertTrue(client.adoptMembership(list, 1, out));
    if (first.node().equals("a")) {
      assertEquals("b", sent().node(), "the one that was sent to is off the list");
    }
    assertFalse(client.isHealthy("c"), "until it says that it is ready");
    assertFalse(client.adoptMembership(list, 2, out));
    assertFalse(client.adoptMembership(new MembershipList(1, Map.of("a", "h:0")), 2, out));
    out.clear();
    client.onHeartbeatReply("c", true, V1, out);
    assertEquals(List.of(new PushMembership("c", list)), out, "it came up by its settings");
    assertTrue(client.isHealthy("c"));
  }
}
