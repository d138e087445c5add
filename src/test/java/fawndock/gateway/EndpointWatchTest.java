package fawndock.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import fawndock.fake.FakeEndpointFeed;
import fawndock.fake.TraceRecorder;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import java.util.List;
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

  /**
   * Guards against missing draining endpoints: a stream that does not start with a snapshot may
   * omit them, so it is reopened.
   */
  @Test
  void streamThatBeginsWithChanges_isReopened() throws Exception {
    io.vertx.core.Vertx vertx = io.vertx.core.Vertx.vertx();
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
    io.vertx.core.Vertx vertx = io.vertx.core.Vertx.vertx();
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
