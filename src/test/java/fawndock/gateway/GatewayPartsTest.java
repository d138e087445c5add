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

/** Tests the clock, timers, sharding, load reports, header fields and peer messages. */
class GatewayPartsTest {
  @Test
  void clock_neverRunsBackwardsAndStillAdvances() {
    long[] wallMicros = {1_000_000};
    long[] nanos = {0};
    MicroClock clock = new MicroClock(() -> wallMicros[0], () -> nanos[0]);
    assertEquals(1_000_000, clock.nowMicros());
    wallMicros[0] = 500_000;
    nanos[0] = 100_000_000;
    assertEquals(
        1_050_000,
        clock.nowMicros(),
        "the clock runs at half speed while it is ahead of the wall clock");
    wallMicros[0] = 1_040_000;
    assertEquals(1_050_000, clock.nowMicros());
    wallMicros[0] = 2_000_000;
    assertEquals(2_000_000, clock.nowMicros());
  }

  @Test
  void timers_fireOnceInOrderUnlessCancelled() throws Exception {
    Vertx vertx = Vertx.vertx();
    List<Integer> fired = new ArrayList<>();
    CompletableFuture<Void> lastFired = new CompletableFuture<>();
    vertx.runOnContext(
        v -> {
          Timers timers = new Timers(vertx);
          timers.schedule(20_000, () -> fired.add(3));
          timers.schedule(1_000, () -> fired.add(1));
          Timers.Timer cancelled = timers.schedule(10_000, () -> fired.add(2));
          timers.cancel(cancelled);
          List<Timers.Timer> cancelledTimers = new ArrayList<>();
          for (int i = 0; i < 5_000; i++) {
            cancelledTimers.add(timers.schedule(3_600_000_000L, () -> fired.add(9)));
          }
          cancelledTimers.forEach(timers::cancel);
          assertEquals(2, timers.pendingCount());
          // This delay is longer than one turn of the timer wheel, so its slot is visited early.
          timers.schedule(4_200_000, () -> fired.add(4));
          timers.schedule(1_000_000, () -> fired.add(5));
          timers.schedule(4_250_000, () -> lastFired.complete(null));
        });
    lastFired.get(20, TimeUnit.SECONDS);
    assertEquals(List.of(1, 3, 5, 4), fired);
    GatewayHarness.await(vertx.close());
  }

  /**
   * Checks that each shard has about an equal number of names, and that an additional shard takes
   * over names without moving names between the other shards.
   */
  @Test
  void counterNames_areSpreadEvenlyOverShards() {
    int[] namesPerShard = new int[3];
    for (int i = 0; i < 3_000; i++) {
      String name = "customer-" + i + ":" + i % 7;
      int shard = CounterClient.shardOf(name, 3);
      namesPerShard[shard]++;
      int shardOfFour = CounterClient.shardOf(name, 4);
      assertTrue(shardOfFour == shard || shardOfFour == 3, name);
    }
    for (int count : namesPerShard) {
      assertTrue(count > 900 && count < 1_100, "one shard has " + count + " of 3000");
    }
  }

  @Test
  void loadReports_areParsedInBothFormatsAndInvalidFieldsAreSkipped() {
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
    for (String invalidHeader :
        List.of(
            "",
            "JSON",
            "JSON {",
            "JSON [1]",
            "TEXT cpu_utilization=NaN,eps=-1",
            "BIN x",
            "TEXT " + "x".repeat(5_000))) {
      assertEquals(LoadReport.NONE, LoadReportParser.parse(invalidHeader).load(), invalidHeader);
    }
    assertEquals(LoadReport.NONE, LoadReportParser.parse(null).load());
  }

  @Test
  void hopByHopFields_areNotForwarded() {
    MultiMap forwarded =
        ForwardedHeaders.filter(
            MultiMap.caseInsensitiveMultiMap()
                .add("Connection", "X-Hop, close")
                .add("X-Hop", "1")
                .add("TE", "trailers")
                .add("X-Kept", "a")
                .add("x-kept", "b"),
            Set.of("x-key"));
    assertEquals(List.of("a", "b"), forwarded.getAll("x-kept"));
    assertEquals(1, forwarded.names().size());
    assertFalse(
        ForwardedHeaders.filter(
                MultiMap.caseInsensitiveMultiMap().add("X-Key", "s"), Set.of("x-key"))
            .contains("x-key"));
  }

  @Test
  void peerMessages_areReceivedWithinTheirLimits() throws Exception {
    Vertx vertx = Vertx.vertx();
    LinkedBlockingQueue<PeerMessageReceived> received = new LinkedBlockingQueue<>();
    CompletableFuture<Integer> port = new CompletableFuture<>();
    Address unboundAddress = new Address("127.0.0.1", 0);
    vertx.runOnContext(
        v ->
            new PeerMessenger(
                    vertx,
                    new Peers(unboundAddress, Map.of(0, unboundAddress, 1, unboundAddress), 2),
                    1,
                    new MicroClock(() -> 0, () -> 0),
                    received::add)
                .start()
                .onSuccess(port::complete));
    Address receiverAddress = new Address("127.0.0.1", port.get(20, TimeUnit.SECONDS));
    vertx.runOnContext(
        v -> {
          PeerMessenger sender =
              new PeerMessenger(
                  vertx,
                  new Peers(unboundAddress, Map.of(1, receiverAddress), 100),
                  0,
                  new MicroClock(),
                  message -> {});
          sender
              .start()
              .onSuccess(
                  boundPort -> {
                    sender.send(new SendPeerMessage(-1, "x".repeat(300)));
                    sender.send(new SendPeerMessage(7, "for another"));
                    for (int i = 0; i < 10; i++) {
                      sender.send(new SendPeerMessage(-1, "hi " + i));
                    }
                  });
        });
    assertEquals(new PeerMessageReceived(0, "hi 0"), received.poll(20, TimeUnit.SECONDS));
    assertEquals(new PeerMessageReceived(0, "hi 1"), received.poll(20, TimeUnit.SECONDS));
    GatewayHarness.await(vertx.close());
    assertEquals(0, received.size(), "more messages were received than the rate limit allows");
  }
}
