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

class EndpointWatchTest {
  private static String entry(String id, String state) {
    return "{\"id\":\"" + id + "\",\"host\":\"127.0.0.1\",\"port\":1,\"state\":\"" + state + "\"}";
  }

  @Test
  void endpointListedTwice_countsAsTheEntryNearerToRemoval() {
    for (String order :
        List.of(
            entry("w", "stopping") + "," + entry("w", "running"),
            entry("w", "running") + "," + entry("w", "stopping"))) {
      EndpointWatchParser.Message line =
          EndpointWatchParser.parse("{\"list\":\"complete\",\"servers\":[" + order + "]}");
      assertEquals(1, line.endpoints().size());
      assertEquals(EndpointState.DRAINING, line.endpoints().get(0).state());
      assertEquals(1, line.duplicateIds().size());
    }
  }

  @Test
  void unreadableLine_isRejected() {
    for (String bad :
        List.of(
            "{",
            "{}",
            "{\"list\":\"some\",\"servers\":[]}",
            "{\"list\":\"complete\"}",
            "{\"list\":\"complete\",\"servers\":[{\"id\":\"w\",\"state\":\"running\"}]}",
            "{\"list\":\"complete\",\"servers\":[" + entry("w", "sleeping") + "]}")) {
      assertThrows(IllegalArgumentException.class, () -> EndpointWatchParser.parse(bad), bad);
    }
  }

  /**
   * A stream that does not begin with everything may hide servers that drain: it is given up, not
   * followed.
   */
  @Test
  void streamThatBeginsWithChanges_isReopened() throws Exception {
    io.vertx.core.Vertx vertx = io.vertx.core.Vertx.vertx();
    int[] connections = {0};
    int port =
        GatewayHarness.await(
                vertx
                    .createHttpServer()
                    .requestHandler(
                        r ->
                            r.response()
                                .setChunked(true)
                                .write(
                                    "{\"list\":\""
                                        + (connections[0]++ == 0 ? "changes" : "complete")
                                        + "\",\"servers\":["
                                        + entry("w", "running")
                                        + "]}\n"))
                    .listen(0, "127.0.0.1"))
            .actualPort();
    try (GatewayHarness s =
        new GatewayHarness(r -> r.response().end(), "roster 127.0.0.1:" + port)) {
      assertEquals(EndpointUpdateKind.SNAPSHOT, s.policy.await(EndpointUpdate.class).kind());
    }
    GatewayHarness.await(vertx.close());
  }

  /** Cut off, back, nobody listed, nonsense: the gateway is never told that the fleet is empty. */
  @Test
  void lostOrEmptyList_neverRemovesAllEndpoints() throws Exception {
    io.vertx.core.Vertx vertx = io.vertx.core.Vertx.vertx();
    FakeEndpointFeed roster = new FakeEndpointFeed(vertx, new TraceRecorder());
    roster.publish(
        new FakeEndpointFeed.EndpointEntry("a", 1, "", 0, "running", 0),
        new FakeEndpointFeed.EndpointEntry("b", 2, "", 0, "running", 0));
    int port = GatewayHarness.await(roster.listen(0));
    try (GatewayHarness s =
        new GatewayHarness(r -> r.response().end(), "roster 127.0.0.1:" + port + " silence 3s")) {
      s.policy.await(
          EndpointUpdate.class,
          e -> e.kind() == EndpointUpdateKind.SNAPSHOT && e.endpoints().size() == 2);
      roster.setDisconnected(true);
      roster.setDisconnected(false);
      GatewayHarness.awaitTrue(
          () -> complete(s) >= 2); // It connects again and has the complete list once more.
      roster.publishRaw("{\"list\":\"complete\",\"servers\":[]}");
      s.policy.await(EndpointUpdate.class, e -> e.kind() == EndpointUpdateKind.FAILED);
      roster.publishRaw("nonsense");
      GatewayHarness.awaitTrue(() -> complete(s) >= 3);
      assertEquals(
          0,
          s.policy.all(EndpointUpdate.class).stream()
              .filter(e -> e.kind() != EndpointUpdateKind.FAILED && e.endpoints().isEmpty())
              .count());
    }
    GatewayHarness.await(vertx.close());
  }

  private static long complete(GatewayHarness s) {
    return s.policy.all(EndpointUpdate.class).stream()
        .filter(e -> e.kind() == EndpointUpdateKind.SNAPSHOT)
        .count();
  }
}
