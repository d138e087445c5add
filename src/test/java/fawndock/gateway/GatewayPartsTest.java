package fawndock.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.policy.action.SendPeerMessage;
import fawndock.policy.event.LoadReport;
import fawndock.policy.event.PeerMessageReceived;
import fawndock.runtime.MicroClock;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import fawndock.settings.GatewaySettings.Peers;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The small parts: clock, timers, shards, load reports, header fields, peer messages. */
class GatewayPartsTest {
  @Test
  void clock_neverRunsBackwardsAndStillMoves() {
    long[] wall = {1_000_000};
    long[] nanos = {0};
    MicroClock clock = new MicroClock(() -> wall[0], () -> nanos[0]);
    assertEquals(1_000_000, clock.nowMicros());
    wall[0] = 500_000;
    nanos[0] = 100_000_000;
    assertEquals(1_050_000, clock.nowMicros(), "half speed while it is ahead of the wall clock");
    wall[0] = 1_040_000;
    assertEquals(1_050_000, clock.nowMicros());
    wall[0] = 2_000_000;
    assertEquals(2_000_000, clock.nowMicros());
  }

  @Test
  void timers_fireOnceInOrderUnlessCancelled() throws Exception {
    Vertx vertx = Vertx.vertx();
    List<Integer> rung = new ArrayList<>();
    CompletableFuture<Void> last = new CompletableFuture<>();
    vertx.runOnContext(
        v -> {
          Timers alarms = new Timers(vertx);
          alarms.schedule(20_000, () -> rung.add(3));
          alarms.schedule(1_000, () -> rung.add(1));
          Timers.Timer cancelled = alarms.schedule(10_000, () -> rung.add(2));
          alarms.cancel(cancelled);
          List<Timers.Timer> many = new ArrayList<>();
          for (int i = 0; i < 5_000; i++) {
            many.add(alarms.schedule(3_600_000_000L, () -> rung.add(9)));
          }
          many.forEach(alarms::cancel);
          assertEquals(2, alarms.pendingCount());
          alarms.schedule(
              4_200_000,
              () -> rung.add(4)); // Beyond one round of the wheel: its slot comes up early.
          alarms.schedule(1_000_000, () -> rung.add(5));
          alarms.schedule(4_250_000, () -> last.complete(null));
        });
    last.get(20, TimeUnit.SECONDS);
    assertEquals(List.of(1, 3, 5, 4), rung);
    GatewayHarness.await(vertx.close());
  }

  /**
   * Each part has about its share of the names, and a further part takes names without moving
   * others.
   */
  @Test
  void counterNames_areSpreadEvenlyOverShards() {
    int[] names = new int[3];
    for (int i = 0; i < 3_000; i++) {
      String name = "customer-" + i + ":" + i % 7;
      int part = CounterClient.shardOf(name, 3);
      names[part]++;
      int of4 = CounterClient.shardOf(name, 4);
      assertTrue(of4 == part || of4 == 3, name);
    }
    for (int each : names) {
      assertTrue(each > 900 && each < 1_100, "one part has " + each + " of 3000");
    }
  }

  @Test
  void loadReports_areReadInBothFormsAndNonsenseIsSkipped() {
    LoadReport expected =
        new LoadReport.Builder().utilization(0.3).requestsPerSecond(90).queuedRequests(4).build();
    assertEquals(
        expected,
        LoadReportParser.parse(
                "TEXT cpu_utilization=0.3, rps_fractional=90,named_metrics.queue=4,other=1,mem=x")
            .load());
    LoadReportParser.Report json =
        LoadReportParser.parse(
            "JSON {\"cpu_utilization\":0.3,\"rps_fractional\":90,"
                + "\"request_cost\":{\"units\":2.5},\"named_metrics\":{\"queue\":4,\"deep\":{\"queue\":9}}}");
    assertEquals(expected, json.load());
    assertEquals(2.5, json.units());
    for (String bad :
        List.of(
            "",
            "JSON",
            "JSON {",
            "JSON [1]",
            "TEXT cpu_utilization=NaN,eps=-1",
            "BIN x",
            "TEXT " + "x".repeat(5_000))) {
      assertEquals(LoadReport.NONE, LoadReportParser.parse(bad).load(), bad);
    }
    assertEquals(LoadReport.NONE, LoadReportParser.parse(null).load());
  }

  @Test
  void hopByHopFields_areNotForwarded() {
    MultiMap passed =
        ForwardedHeaders.filter(
            MultiMap.caseInsensitiveMultiMap()
                .add("Connection", "X-Hop, close")
                .add("X-Hop", "1")
                .add("TE", "trailers")
                .add("X-Kept", "a")
                .add("x-kept", "b"),
            Set.of("x-key"));
    assertEquals(List.of("a", "b"), passed.getAll("x-kept"));
    assertEquals(1, passed.names().size());
    assertFalse(
        ForwardedHeaders.filter(
                MultiMap.caseInsensitiveMultiMap().add("X-Key", "s"), Set.of("x-key"))
            .contains("x-key"));
  }

  @Test
  void peerMessages_areReceivedWithinTheirLimits() throws Exception {
    Vertx vertx = Vertx.vertx();
    LinkedBlockingQueue<PeerMessageReceived> heard = new LinkedBlockingQueue<>();
    CompletableFuture<Integer> port = new CompletableFuture<>();
    Address nowhere = new Address("127.0.0.1", 0);
    vertx.runOnContext(
        v ->
            new PeerMessenger(
                    vertx,
                    new Peers(nowhere, Map.of(0, nowhere, 1, nowhere), 2),
                    1,
                    new MicroClock(() -> 0, () -> 0),
                    heard::add)
                .start()
                .onSuccess(port::complete));
    Address listener = new Address("127.0.0.1", port.get(20, TimeUnit.SECONDS));
    vertx.runOnContext(
        v -> {
          PeerMessenger sender =
              new PeerMessenger(
                  vertx,
                  new Peers(nowhere, Map.of(1, listener), 100),
                  0,
                  new MicroClock(),
                  m -> {});
          sender
              .start()
              .onSuccess(
                  p -> {
                    sender.send(new SendPeerMessage(-1, "x".repeat(300)));
                    sender.send(new SendPeerMessage(7, "for another"));
                    for (int i = 0; i < 10; i++) {
                      sender.send(new SendPeerMessage(-1, "hi " + i));
                    }
                  });
        });
    assertEquals(new PeerMessageReceived(0, "hi 0"), heard.poll(20, TimeUnit.SECONDS));
    assertEquals(new PeerMessageReceived(0, "hi 1"), heard.poll(20, TimeUnit.SECONDS));
    GatewayHarness.await(vertx.close());
    assertEquals(0, heard.size(), "more than its intake was taken in");
  }
}
