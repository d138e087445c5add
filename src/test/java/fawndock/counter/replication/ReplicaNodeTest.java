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

/** When a node answers, with what, and what it sends peers, step by step. */
class ReplicaNodeTest {
  private static final long V1 = MembershipList.settingsVersion(1);
  private final ReplicatedSums sums =
      new ReplicatedSums(new CounterOperations(new CounterTable(1, 2), Long.MAX_VALUE));
  private final ReplicaNode node =
      new ReplicaNode(
          "a", List.of("b", "c"), 1, 10, new FailureDetectorTimeouts(150, 500), sums, 0);

  private void heartbeat(String from, long version, long start, boolean ready, long now) {
    node.onHeartbeat(from, new Heartbeat(version, start, ready, Map.of()), now);
  }

  private void upWithAll(long now) {
    heartbeat("b", V1, 1, true, now);
    heartbeat("c", V1, 1, true, now);
    node.onFullStateReceived("b", now);
    node.onFullStateReceived("c", now);
    assertTrue(node.isReady());
    assertTrue(node.nextBatch("b", 100, now).completesFullState());
    node.onBatchAcknowledged("b");
  }

  private static ReplicatedSum sum(String name, long origin, long plus) {
    return new ReplicatedSum(
        name, origin, new DecimalAmount(plus, false), DecimalAmount.ZERO, 60_000);
  }

  private String ask(ReplicatedSum sum, long now) {
    try {
      return node.mergeAndTotal(sum, now, new ChangeRecord(64)).toString();
    } catch (CommandException e) {
      return e.getMessage().split(" ", 0)[0];
    }
  }

  @Test
  void node_isReadyOnceEachReadyPeerHasSentItsFullState() {
    assertEquals("LOADING", ask(sum("n.1", 7, 1), 0));
    heartbeat("b", V1, 1, true, 10);
    heartbeat("c", V1, 1, true, 10);
    node.onFullStateReceived("b", 20);
    assertEquals("LOADING", ask(sum("n.1", 7, 1), 20), "b may lag behind c");
    node.onFullStateReceived("c", 30);
    assertEquals("1", ask(sum("n.1", 7, 1), 30));
  }

  @Test
  void fullState_ofAnEarlierIncarnation_doesNotCount() {
    heartbeat("b", V1, 1, true, 10);
    node.onFullStateReceived("b", 20);
    assertTrue(node.isReady());
    ReplicaNode late =
        new ReplicaNode(
            "a", List.of("b", "c"), 1, 10, new FailureDetectorTimeouts(150, 500), sums, 0);
    late.onHeartbeat("b", new Heartbeat(V1, 1, false, Map.of()), 10);
    late.onFullStateReceived("b", 20);
    late.onHeartbeat("b", new Heartbeat(V1, 2, true, Map.of()), 30);
    assertFalse(late.isReady(), "b has started again, and may have come back with more from c");
  }

  @Test
  void node_startsAloneOnlyWhereNoPeerCanHelp() {
    node.tick(499);
    assertFalse(node.isReady());
    node.tick(500);
    assertTrue(node.isReady(), "nobody there");
    ReplicaNode beside =
        new ReplicaNode(
            "a", List.of("b", "c"), 1, 10, new FailureDetectorTimeouts(150, 500), sums, 0);
    for (long now = 100; now <= 4_900; now += 100) {
      beside.onHeartbeat("b", new Heartbeat(V1, 1, true, Map.of()), now);
      beside.tick(now);
      assertFalse(beside.isReady(), "b is ready, and still sending, at " + now);
    }
    beside.tick(5_000);
    assertTrue(beside.isReady(), "got nothing for ten times as long: b cannot send");
    ReplicaNode both =
        new ReplicaNode(
            "a", List.of("b", "c"), 1, 10, new FailureDetectorTimeouts(150, 500), sums, 0);
    both.onHeartbeat("b", new Heartbeat(V1, 1, false, Map.of()), 450);
    both.tick(600);
    assertFalse(both.isReady(), "b waits as well, and has not sent what it has");
    ReplicaNode unknown =
        new ReplicaNode(
            "a", List.of("b", "c"), 1, 10, new FailureDetectorTimeouts(150, 500), sums, 0);
    for (long now = 0; now <= 20_000; now += 400) {
      unknown.onUnknownToPeer("b", now);
      unknown.tick(now);
      assertFalse(unknown.isReady(), "b does not know it yet, at " + now);
    }
    unknown.tick(30_000);
    assertTrue(unknown.isReady());
  }

  @Test
  void newerMembershipList_fencesUntilItIsAdopted() {
    upWithAll(10);
    MembershipList without = new MembershipList(2, Map.of("b", "h:1", "d", "h:2"));
    heartbeat("b", without.version(), 1, true, 20);
    assertEquals("FENCED", ask(sum("n.1", 7, 1), 20));
    MembershipList with = new MembershipList(2, Map.of("a", "h:3", "b", "h:1"));
    MembershipList newer =
        with.version() > without.version() ? with : new MembershipList(3, with.addresses());
    assertTrue(node.adoptMembership(newer, 30));
    assertEquals("1", ask(sum("n.1", 7, 1), 30));
    assertEquals(java.util.Set.of("b"), node.peers());
    assertFalse(node.adoptMembership(without, 40), "an older one");
    assertEquals(newer, node.membershipNewerThan(V1));
    assertEquals(null, node.membershipNewerThan(newer.version()));
    assertTrue(node.adoptMembership(new MembershipList(4, Map.of("b", "h:1")), 50));
    assertEquals("FENCED", ask(sum("n.1", 7, 1), 50), "off the list");
  }

  @Test
  void heartbeat_withAnOlderList_doesNotCount() {
    assertTrue(node.adoptMembership(new MembershipList(2, Map.of("a", "h:1", "b", "h:2")), 0));
    heartbeat("b", V1, 1, true, 10);
    assertFalse(node.isPeerAlive("b", 10));
  }

  @Test
  void estimate_coversOriginsThatMayCountAtADeadPeer() throws CommandException {
    upWithAll(0);
    long now = 0;
    for (int i = 1; i <= 200; i++) { // 100 a second by origin 8, sent by b.
      now += 10;
      node.mergeFromPeer("b", sum("n.1", 8, i), now, new ChangeRecord(64));
      heartbeat("b", V1, 1, true, now);
      heartbeat("c", V1, 1, true, now);
      node.onOriginStamp(8, i, now);
    }
    assertEquals("200", ask(sum("n.1", 7, 0), now));
    heartbeat("b", V1, 1, true, now + 1_000);
    heartbeat("c", V1, 1, true, now + 1_000);
    node.onOriginStamp(8, 200, now + 1_000); // An echo.
    assertEquals("200", ask(sum("n.1", 7, 0), now + 1_000), "all nodes are alive: it is dead");
    assertEquals(
        400, Double.parseDouble(ask(sum("n.1", 7, 0), now + 2_000)), 30, "b and c are not");
    assertEquals("0", ask(sum("n.2", 7, 0), now + 2_000), "the newest window begins with nothing");
    assertEquals(100, Double.parseDouble(ask(sum("n.2", 7, 0), now + 3_000)), 20);
    assertEquals(
        400,
        Double.parseDouble(ask(sum("n.1", 7, 0), now + 3_000)),
        30,
        "and the one before has ended");
    ask(sum("n.3", 7, 0), now + 3_000);
    assertEquals("200", ask(sum("n.1", 7, 0), now + 4_000), "an older one has had what it had");
  }

  @Test
  void estimate_ofAnOriginThatHadStopped_isSmall() throws CommandException {
    upWithAll(0);
    for (int now = 10;
        now <= 24_000;
        now += 10) { // 100 a second for 2 s, then it is there and counts nothing.
      node.mergeFromPeer("b", sum("n.1", 8, Math.min(200, now / 10)), now, new ChangeRecord(64));
      node.onOriginStamp(8, now, now);
      heartbeat("b", V1, 1, true, now);
      heartbeat("c", V1, 1, true, now);
    }
    assertEquals(200, Double.parseDouble(ask(sum("n.1", 7, 0), 25_000)), 10);
  }

  @Test
  void fullState_isSentAgainToAPeerThatWasAwayOrRestarted() throws CommandException {
    upWithAll(0);
    ask(sum("n.1", 7, 1), 10);
    assertEquals(
        List.of("n.1"),
        node.nextBatch("b", 100, 20).sums().stream().map(ReplicatedSum::name).toList());
    ask(sum("n.2", 7, 1), 30);
    assertTrue(node.nextBatch("b", 100, 40).isEmpty(), "the last is not confirmed yet");
    node.onBatchAcknowledged("b");
    assertEquals(
        List.of("n.2"),
        node.nextBatch("b", 100, 50).sums().stream().map(ReplicatedSum::name).toList());
    heartbeat("b", V1, 1, true, 140);
    node.tick(201); // Not confirmed within the time to miss it.
    assertTrue(node.nextBatch("b", 100, 201).completesFullState());
    node.onBatchAcknowledged("b");
    heartbeat("b", V1, 2, true, 210);
    assertTrue(node.nextBatch("b", 100, 210).completesFullState(), "it has started again");
    node.onBatchAcknowledged("b");
    heartbeat("b", V1, 2, true, 400);
    assertTrue(node.nextBatch("b", 100, 400).completesFullState(), "it was away");
  }

  @Test
  void sum_neverShrinks_andAllItsKeysExpireAtOnce() {
    upWithAll(0);
    assertEquals("5", ask(sum("n.1", 7, 5), 10));
    assertEquals("5", ask(sum("n.1", 7, 3), 20), "an older one, overtaken");
    assertEquals("6", ask(sum("n.1", 8, 1), 59_000));
    assertEquals(
        "6", ask(sum("n.1", 7, 5), 59_900), "not added again before the total is forgotten");
    assertEquals("2", ask(sum("n.1", 8, 2), 60_020), "all of it is forgotten at once");
  }
}
