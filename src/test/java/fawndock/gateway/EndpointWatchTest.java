package fawndock.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import fawndock.fake.FakeEndpointFeed;
import fawndock.fake.TraceRecorder;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import fawndock.settings.GatewaySettings.EndpointDiscovery;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the parsing of discovery messages and the recovery of the watch. */
class EndpointWatchTest {
  private static String entry(String id, String state) {
    return "{\"id\":\"" + id + "\",\"host\":\"127.0.0.1\",\"port\":1,\"state\":\"" + state + "\"}";
  }

  @Test
  void endpointListedTwice_hasTheStateNearestToRemoval() {
    for (String entries :
        List.of(
            entry("w", "stopping") + "," + entry("w", "running"),
            entry("w", "running") + "," + entry("w", "stopping"))) {
      EndpointWatchParser.Message message =
          EndpointWatchParser.parse("{\"list\":\"complete\",\"servers\":[" + entries + "]}");
      assertEquals(1, message.endpoints().size());
      assertEquals(EndpointState.DRAINING, message.endpoints().get(0).state());
      assertEquals(1, message.duplicateIds().size());
    }
  }

  @Test
  void invalidLine_isRejected() {
    for (String invalidLine :
        List.of(
            "{",
            "{}",
            "{\"list\":\"some\",\"servers\":[]}",
            "{\"list\":\"complete\"}",
            "{\"list\":\"complete\",\"servers\":[{\"id\":\"w\",\"state\":\"running\"}]}",
            "{\"list\":\"complete\",\"servers\":[" + entry("w", "sleeping") + "]}")) {
      assertThrows(
          IllegalArgumentException.class,
          () -> EndpointWatchParser.parse(invalidLine),
          invalidLine);
    }
  }

  /** Guards against requests to an endpoint that began to drain while the attempt connected. */
  @Test
  void drainingOrRemovedEndpoint_isNotAvailable() throws Exception {
    Vertx vertx = Vertx.vertx();
    FakeEndpointFeed feed = new FakeEndpointFeed(vertx, new TraceRecorder());
    feed.publish(new FakeEndpointFeed.EndpointEntry("w", 1, "", 0, "running", 0));
    int port = GatewayHarness.await(feed.listen(0));
    BlockingQueue<Boolean> availability = new LinkedBlockingQueue<>();
    EndpointWatch[] watch = new EndpointWatch[1];
    vertx.runOnContext(
        v -> {
          watch[0] =
              new EndpointWatch(
                  vertx,
                  new EndpointDiscovery(
                      new Address("127.0.0.1", port), 20_000_000, false, List.of()),
                  new Timers(vertx),
                  update -> availability.add(watch[0].isAvailable("w")));
          watch[0].start();
        });
    assertEquals(true, availability.poll(20, TimeUnit.SECONDS));
    feed.publish(new FakeEndpointFeed.EndpointEntry("w", 1, "", 0, "stopping", 0));
    assertEquals(false, availability.poll(20, TimeUnit.SECONDS));
    feed.publish(new FakeEndpointFeed.EndpointEntry("w", 1, "", 0, "running", 0));
    assertEquals(true, availability.poll(20, TimeUnit.SECONDS));
    feed.publish(new FakeEndpointFeed.EndpointEntry("w", 1, "", 0, "deleted", 0));
    assertEquals(false, availability.poll(20, TimeUnit.SECONDS));
    GatewayHarness.await(vertx.close());
  }

  /**
   * Guards against missing draining endpoints: a stream that does not start with a snapshot may
   * omit them, so it is reopened.
   */
  @Test
  void streamThatBeginsWithChanges_isReopened() throws Exception {
    Vertx vertx = Vertx.vertx();
    int[] connectionCount = {0};
    int port =
        GatewayHarness.await(
                vertx
                    .createHttpServer()
                    .requestHandler(
                        request ->
                            request
                                .response()
                                .setChunked(true)
                                .write(
                                    "{\"list\":\""
                                        + (connectionCount[0]++ == 0 ? "changes" : "complete")
                                        + "\",\"servers\":["
                                        + entry("w", "running")
                                        + "]}\n"))
                    .listen(0, "127.0.0.1"))
            .actualPort();
    try (GatewayHarness gateway =
        new GatewayHarness(request -> request.response().end(), "roster 127.0.0.1:" + port)) {
      assertEquals(EndpointUpdateKind.SNAPSHOT, gateway.policy.await(EndpointUpdate.class).kind());
    }
    GatewayHarness.await(vertx.close());
  }

  /**
   * Guards against an empty list of endpoints after a reconnect, an empty snapshot or an unreadable
   * line of the discovery server.
   */
  @Test
  void lostOrEmptyList_neverRemovesAllEndpoints() throws Exception {
    Vertx vertx = Vertx.vertx();
    FakeEndpointFeed discoveryServer = new FakeEndpointFeed(vertx, new TraceRecorder());
    discoveryServer.publish(
        new FakeEndpointFeed.EndpointEntry("a", 1, "", 0, "running", 0),
        new FakeEndpointFeed.EndpointEntry("b", 2, "", 0, "running", 0));
    int port = GatewayHarness.await(discoveryServer.listen(0));
    try (GatewayHarness gateway =
        new GatewayHarness(
            request -> request.response().end(), "roster 127.0.0.1:" + port + " silence 3s")) {
      gateway.policy.await(
          EndpointUpdate.class,
          update -> update.kind() == EndpointUpdateKind.SNAPSHOT && update.endpoints().size() == 2);
      discoveryServer.setDisconnected(true);
      discoveryServer.setDisconnected(false);
      // The watch reconnects and receives another snapshot.
      GatewayHarness.awaitTrue(() -> snapshotCount(gateway) >= 2);
      discoveryServer.publishRaw("{\"list\":\"complete\",\"servers\":[]}");
      gateway.policy.await(
          EndpointUpdate.class, update -> update.kind() == EndpointUpdateKind.FAILED);
      discoveryServer.publishRaw("nonsense");
      GatewayHarness.awaitTrue(() -> snapshotCount(gateway) >= 3);
      assertEquals(
          0,
          gateway.policy.eventsOf(EndpointUpdate.class).stream()
              .filter(
                  update ->
                      update.kind() != EndpointUpdateKind.FAILED && update.endpoints().isEmpty())
              .count());
    }
    GatewayHarness.await(vertx.close());
  }

  private static long snapshotCount(GatewayHarness gateway) {
    return gateway.policy.eventsOf(EndpointUpdate.class).stream()
        .filter(update -> update.kind() == EndpointUpdateKind.SNAPSHOT)
        .count();
  }
}
