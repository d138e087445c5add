package fawndock.counter.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.counter.replication.ReplicaClient.Ask;
import fawndock.counter.replication.ReplicaClient.End;
import fawndock.counter.replication.ReplicaClient.Fetch;
import fawndock.counter.replication.ReplicaClient.Give;
import fawndock.counter.replication.ReplicaClient.Out;
import fawndock.counter.replication.ReplicaClient.Result;
import fawndock.counter.storage.CommandException;
import fawndock.counter.storage.DecimalAmount;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which node a gatekeeper asks, step by step. */
class ClientRulesTest {
  private static final DecimalAmount ONE = new DecimalAmount(1, false);
  private static final long V1 = MembershipList.settingsVersion(1);
  private final ReplicaClient client =
      new ReplicaClient(7, List.of("a", "b"), new ReplicaClient.Times(10, 50, 100, 1_000));

  private final List<Out> out = new ArrayList<>();

  private Ask call(long now) throws CommandException {
    out.clear();
    client.call("n.1", ONE, 60_000, now, out);
    return asked();
  }

  private Ask asked() {
    return out.stream().filter(Ask.class::isInstance).map(Ask.class::cast).findFirst().orElse(null);
  }

  private End ended() {
    return out.stream().filter(End.class::isInstance).map(End.class::cast).findFirst().orElse(null);
  }

  private void tick(long now) {
    out.clear();
    client.tick(now, out);
  }

  private static String other(String node) {
    return node.equals("a") ? "b" : "a";
  }

  @Test
  void aSilentNodeIsStoodInForWithinTheCall() throws CommandException {
    Ask first = call(0);
    tick(9);
    assertEquals(null, asked());
    tick(10);
    assertEquals(other(first.node()), asked().node());
    assertEquals(first.call(), asked().call());
    out.clear();
    client.answered(other(first.node()), first.call(), 5, out);
    assertEquals(Result.OK, ended().result());
    out.clear();
    client.answered(first.node(), first.call(), 5, out);
    assertEquals(null, ended(), "told once");
  }

  @Test
  void oneThatStaysSilentIsNotAskedFirstUntilItSaysThatItIsReady() throws CommandException {
    Ask first = call(0);
    tick(101);
    assertFalse(client.well(first.node()));
    assertTrue(
        out.stream()
            .anyMatch(
                o -> o instanceof Ask a && a.call() == 0 && a.node().equals(other(first.node()))),
        "what only the lost one had is told to the next: " + out);
    assertEquals(other(first.node()), call(110).node());
    client.hereAnswered(first.node(), true, V1, out);
    assertEquals(first.node(), call(120).node());
    tick(121);
    assertTrue(
        out.stream()
            .anyMatch(o -> o instanceof Ask a && a.call() == 0 && a.node().equals(first.node())),
        "it may have come back with nothing");
    client.hereAnswered(first.node(), false, V1, out);
    assertEquals(other(first.node()), call(130).node());
  }

  @Test
  void aLostConnectionOrARefusalIsAskedElsewhereAtOnce() throws CommandException {
    Ask first = call(0);
    out.clear();
    client.lost(first.node(), 1, out);
    assertEquals(other(first.node()), asked().node());
    client.hereAnswered(first.node(), true, V1, out);
    Ask second = call(2);
    out.clear();
    client.refused(second.node(), second.call(), true, 3, out);
    assertEquals(other(second.node()), asked().node());
    assertFalse(client.well(second.node()));
  }

  @Test
  void whatWasNotAddedIsTakenBack() throws CommandException {
    client.lost("a", 0, out);
    client.lost("b", 0, out);
    assertEquals(null, call(1));
    assertEquals(Result.UNREACHABLE, ended().result());
    client.hereAnswered("a", true, V1, out);
    ReplicatedSum told = call(2).sum();
    assertEquals("2", told.plus().toString());
    assertEquals("1", told.minus().toString());
  }

  @Test
  void aNewerListIsFetchedAndGivenBack() throws CommandException {
    Ask first = call(0);
    MembershipList list = new MembershipList(2, Map.of("b", "h:1", "c", "h:2"));
    out.clear();
    client.hereAnswered("b", true, list.version(), out);
    assertEquals(List.of(new Fetch("b")), out);
    out.clear();
    assertTrue(client.adopt(list, 1, out));
    if (first.node().equals("a")) {
      assertEquals("b", asked().node(), "the one that was asked is off the list");
    }
    assertFalse(client.well("c"), "until it says that it is ready");
    assertFalse(client.adopt(list, 2, out));
    assertFalse(client.adopt(new MembershipList(1, Map.of("a", "h:0")), 2, out));
    out.clear();
    client.hereAnswered("c", true, V1, out);
    assertEquals(List.of(new Give("c", list)), out, "it came up by its settings");
    assertTrue(client.well("c"));
  }
}
