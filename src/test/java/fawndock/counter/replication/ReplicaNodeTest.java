package fawndock.counter.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.counter.storage.ChangeRecord;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.CounterOperations;
import fawndock.counter.storage.CounterTable;
import fawndock.counter.storage.DecimalAmount;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests when a node answers, which totals it returns, and what it sends to its peers. */
class ReplicaNodeTest {
  private static final long SETTINGS_VERSION = MembershipList.settingsVersion(1);
  private final ReplicatedSums sums =
      new ReplicatedSums(new CounterOperations(new CounterTable(1, 2), Long.MAX_VALUE));
  private final ReplicaNode node =
      new ReplicaNode(
          "a", List.of("b", "c"), 1, 10, new FailureDetectorTimeouts(150, 500), sums, 0);

  private void receiveHeartbeat(
      String from, long version, long incarnation, boolean isReady, long nowMillis) {
    node.onHeartbeat(from, new Heartbeat(version, incarnation, isReady, Map.of()), nowMillis);
  }

  private void becomeReadyWithAllPeers(long nowMillis) {
    receiveHeartbeat("b", SETTINGS_VERSION, 1, true, nowMillis);
    receiveHeartbeat("c", SETTINGS_VERSION, 1, true, nowMillis);
    node.onFullStateReceived("b", nowMillis);
    node.onFullStateReceived("c", nowMillis);
    assertTrue(node.isReady());
    assertTrue(node.nextBatch("b", 100, nowMillis).completesFullState());
    node.onBatchAcknowledged("b");
  }

  private static ReplicatedSum sum(String name, long origin, long added) {
    return new ReplicatedSum(
        name, origin, new DecimalAmount(added, false), DecimalAmount.ZERO, 60_000);
  }

  private String totalOrError(ReplicatedSum sum, long nowMillis) {
    try {
      return node.mergeAndTotal(sum, nowMillis, new ChangeRecord(64)).toString();
    } catch (CommandException e) {
      return e.getMessage().split(" ", 0)[0];
    }
  }

  @Test
  void node_isReadyOnceEachReadyPeerHasSentItsFullState() {
    assertEquals("LOADING", totalOrError(sum("n.1", 7, 1), 0));
    receiveHeartbeat("b", SETTINGS_VERSION, 1, true, 10);
    receiveHeartbeat("c", SETTINGS_VERSION, 1, true, 10);
    node.onFullStateReceived("b", 20);
    assertEquals("LOADING", totalOrError(sum("n.1", 7, 1), 20), "b may lag behind c");
    node.onFullStateReceived("c", 30);
    assertEquals("1", totalOrError(sum("n.1", 7, 1), 30));
  }

  @Test
  void fullState_ofAnEarlierIncarnation_isIgnored() {
    receiveHeartbeat("b", SETTINGS_VERSION, 1, true, 10);
    node.onFullStateReceived("b", 20);
    assertTrue(node.isReady());
    ReplicaNode startingNode =
        new ReplicaNode(
            "a", List.of("b", "c"), 1, 10, new FailureDetectorTimeouts(150, 500), sums, 0);
    startingNode.onHeartbeat("b", new Heartbeat(SETTINGS_VERSION, 1, false, Map.of()), 10);
    startingNode.onFullStateReceived("b", 20);
    startingNode.onHeartbeat("b", new Heartbeat(SETTINGS_VERSION, 2, true, Map.of()), 30);
    assertFalse(startingNode.isReady(), "b has restarted and may have received more sums from c");
  }

  @Test
  void node_startsAloneOnlyIfNoPeerCanSendItsState() {
    node.tick(499);
    assertFalse(node.isReady());
    node.tick(500);
    assertTrue(node.isReady(), "no peer is alive");
    ReplicaNode besideReadyPeer =
        new ReplicaNode(
            "a", List.of("b", "c"), 1, 10, new FailureDetectorTimeouts(150, 500), sums, 0);
    for (long nowMillis = 100; nowMillis <= 4_900; nowMillis += 100) {
      besideReadyPeer.onHeartbeat(
          "b", new Heartbeat(SETTINGS_VERSION, 1, true, Map.of()), nowMillis);
      besideReadyPeer.tick(nowMillis);
      assertFalse(besideReadyPeer.isReady(), "b is ready and still sending, at " + nowMillis);
    }
    besideReadyPeer.tick(5_000);
    assertTrue(besideReadyPeer.isReady(), "no sum for ten timeouts: b cannot send");
    ReplicaNode besideStartingPeer =
        new ReplicaNode(
            "a", List.of("b", "c"), 1, 10, new FailureDetectorTimeouts(150, 500), sums, 0);
    besideStartingPeer.onHeartbeat("b", new Heartbeat(SETTINGS_VERSION, 1, false, Map.of()), 450);
    besideStartingPeer.tick(600);
    assertFalse(besideStartingPeer.isReady(), "b is also starting and has not sent its full state");
    ReplicaNode unknownToPeer =
        new ReplicaNode(
            "a", List.of("b", "c"), 1, 10, new FailureDetectorTimeouts(150, 500), sums, 0);
    for (long nowMillis = 0; nowMillis <= 20_000; nowMillis += 400) {
      unknownToPeer.onUnknownToPeer("b", nowMillis);
      unknownToPeer.tick(nowMillis);
      assertFalse(unknownToPeer.isReady(), "b does not list this node yet, at " + nowMillis);
    }
    unknownToPeer.tick(30_000);
    assertTrue(unknownToPeer.isReady());
  }

  @Test
  void newerMembershipList_fencesTheNodeUntilAdopted() {
    becomeReadyWithAllPeers(10);
    MembershipList listWithoutNode = new MembershipList(2, Map.of("b", "h:1", "d", "h:2"));
    receiveHeartbeat("b", listWithoutNode.version(), 1, true, 20);
    assertEquals("FENCED", totalOrError(sum("n.1", 7, 1), 20));
    MembershipList listWithNode = new MembershipList(2, Map.of("a", "h:3", "b", "h:1"));
    MembershipList newerList =
        listWithNode.version() > listWithoutNode.version()
            ? listWithNode
            : new MembershipList(3, listWithNode.addresses());
    assertTrue(node.adoptMembership(newerList, 30));
    assertEquals("1", totalOrError(sum("n.1", 7, 1), 30));
    assertEquals(java.util.Set.of("b"), node.peers());
    assertFalse(node.adoptMembership(listWithoutNode, 40), "an older list");
    assertEquals(newerList, node.membershipNewerThan(SETTINGS_VERSION));
    assertEquals(null, node.membershipNewerThan(newerList.version()));
    assertTrue(node.adoptMembership(new MembershipList(4, Map.of("b", "h:1")), 50));
    assertEquals("FENCED", totalOrError(sum("n.1", 7, 1), 50), "the node is not on its list");
  }

  @Test
  void heartbeat_withAnOlderList_isIgnored() {
    assertTrue(node.adoptMembership(new MembershipList(2, Map.of("a", "h:1", "b", "h:2")), 0));
    receiveHeartbeat("b", SETTINGS_VERSION, 1, true, 10);
    assertFalse(node.isPeerAlive("b", 10));
  }

  @Test
  void estimate_coversOriginsThatMayAddAtADeadPeer() throws CommandException {
    becomeReadyWithAllPeers(0);
    long nowMillis = 0;
    for (int i = 1; i <= 200; i++) { // Origin 8 adds 100 per second at b.
      nowMillis += 10;
      node.mergeFromPeer("b", sum("n.1", 8, i), nowMillis, new ChangeRecord(64));
      receiveHeartbeat("b", SETTINGS_VERSION, 1, true, nowMillis);
      receiveHeartbeat("c", SETTINGS_VERSION, 1, true, nowMillis);
      node.onOriginStamp(8, i, nowMillis);
    }
    assertEquals("200", totalOrError(sum("n.1", 7, 0), nowMillis));
    receiveHeartbeat("b", SETTINGS_VERSION, 1, true, nowMillis + 1_000);
    receiveHeartbeat("c", SETTINGS_VERSION, 1, true, nowMillis + 1_000);
    node.onOriginStamp(8, 200, nowMillis + 1_000); // A repeated stamp.
    assertEquals(
        "200",
        totalOrError(sum("n.1", 7, 0), nowMillis + 1_000),
        "all nodes are alive: the origin is dead");
    assertEquals(
        400,
        Double.parseDouble(totalOrError(sum("n.1", 7, 0), nowMillis + 2_000)),
        30,
        "b and c are not alive");
    assertEquals(
        "0", totalOrError(sum("n.2", 7, 0), nowMillis + 2_000), "the newest window starts at zero");
    assertEquals(100, Double.parseDouble(totalOrError(sum("n.2", 7, 0), nowMillis + 3_000)), 20);
    assertEquals(
        400,
        Double.parseDouble(totalOrError(sum("n.1", 7, 0), nowMillis + 3_000)),
        30,
        "the previous window has ended");
    totalOrError(sum("n.3", 7, 0), nowMillis + 3_000);
    assertEquals(
        "200", totalOrError(sum("n.1", 7, 0), nowMillis + 4_000), "no estimate for older windows");
  }

  @Test
  void estimate_ofAnOriginThatStoppedAdding_isSmall() throws CommandException {
    becomeReadyWithAllPeers(0);
    for (int nowMillis = 10;
        nowMillis <= 24_000;
        nowMillis += 10) { // 100 per second for 2 s, then the origin is alive and adds nothing.
      node.mergeFromPeer(
          "b", sum("n.1", 8, Math.min(200, nowMillis / 10)), nowMillis, new ChangeRecord(64));
      node.onOriginStamp(8, nowMillis, nowMillis);
      receiveHeartbeat("b", SETTINGS_VERSION, 1, true, nowMillis);
      receiveHeartbeat("c", SETTINGS_VERSION, 1, true, nowMillis);
    }
    assertEquals(200, Double.parseDouble(totalOrError(sum("n.1", 7, 0), 25_000)), 10);
  }

  @Test
  void fullState_isSentAgainToAPeerThatWasUnreachableOrRestarted() throws CommandException {
    becomeReadyWithAllPeers(0);
    totalOrError(sum("n.1", 7, 1), 10);
    assertEquals(
        List.of("n.1"),
        node.nextBatch("b", 100, 20).sums().stream().map(ReplicatedSum::name).toList());
    totalOrError(sum("n.2", 7, 1), 30);
    assertTrue(
        node.nextBatch("b", 100, 40).isEmpty(), "the previous batch is not acknowledged yet");
    node.onBatchAcknowledged("b");
    assertEquals(
        List.of("n.2"),
        node.nextBatch("b", 100, 50).sums().stream().map(ReplicatedSum::name).toList());
    receiveHeartbeat("b", SETTINGS_VERSION, 1, true, 140);
    node.tick(201); // Not acknowledged within the peer timeout.
    assertTrue(node.nextBatch("b", 100, 201).completesFullState());
    node.onBatchAcknowledged("b");
    receiveHeartbeat("b", SETTINGS_VERSION, 2, true, 210);
    assertTrue(node.nextBatch("b", 100, 210).completesFullState(), "the peer has restarted");
    node.onBatchAcknowledged("b");
    receiveHeartbeat("b", SETTINGS_VERSION, 2, true, 400);
    assertTrue(node.nextBatch("b", 100, 400).completesFullState(), "the peer was unreachable");
  }

  @Test
  void sum_neverDecreases_andAllItsKeysExpireTogether() {
    becomeReadyWithAllPeers(0);
    assertEquals("5", totalOrError(sum("n.1", 7, 5), 10));
    assertEquals("5", totalOrError(sum("n.1", 7, 3), 20), "an older state that arrives late");
    assertEquals("6", totalOrError(sum("n.1", 8, 1), 59_000));
    assertEquals(
        "6", totalOrError(sum("n.1", 7, 5), 59_900), "not added again before the total expires");
    assertEquals(
        "2", totalOrError(sum("n.1", 8, 2), 60_020), "all keys of the name expire together");
  }
}
