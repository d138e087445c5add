package fawndock.fake;

import fawndock.conformance.TraceEvent;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Endpoint discovery for gateways, each on a port of its own, so that it is known which gateway was
 * notified of what. Notifications may be delayed and cut off. Any thread.
 */
public final class FakeEndpointFeed {
  /** An endpoint; its state is running, stopping or deleted, as the feed writes it. */
  public record EndpointEntry(
      String id, int port, String zone, int cell, String state, long startedAtMicros) {}

  private final Vertx vertx;
  private final TraceRecorder recorder;
  private final Map<String, EndpointEntry> entries = new LinkedHashMap<>();
  private final Map<Integer, HttpServer> servers = new LinkedHashMap<>();
  private final Map<Integer, Integer> ports = new LinkedHashMap<>();
  private final Map<HttpServerResponse, Integer> gatewayByWatcher = new LinkedHashMap<>();
  private long delayMillis;
  private boolean isDisconnected;

  public FakeEndpointFeed(Vertx vertx, TraceRecorder recorder) {
    this.vertx = vertx;
    this.recorder = recorder;
    vertx.setPeriodic(500, id -> heartbeat());
  }

  /** Listens for one gateway; completes with the port. */
  public Future<Integer> listen(int gatewayIndex) {
    HttpServer server =
        vertx
            .createHttpServer()
            .requestHandler(
                request -> {
                  HttpServerResponse response = request.response();
                  synchronized (this) {
                    if (isDisconnected) {
                      request.connection().close();
                      return;
                    }
                    response.setChunked(true);
                    gatewayByWatcher.put(response, gatewayIndex);
                    response.closeHandler(v -> removeWatcher(response));
                    send(response, gatewayIndex, "complete", new ArrayList<>(entries.values()));
                  }
                });
    synchronized (this) {
      servers.put(gatewayIndex, server);
    }
    return server
        .listen(0, "127.0.0.1")
        .map(
            s -> {
              synchronized (this) {
                ports.put(gatewayIndex, s.actualPort());
              }
              return s.actualPort();
            });
  }

  /** Adds or changes endpoints and notifies all gateways, after the delay if one is set. */
  public void publish(EndpointEntry... changed) {
    long late;
    synchronized (this) {
      for (EndpointEntry entry : changed) {
        entries.put(entry.id(), entry);
        if (entry.state().equals("deleted")) {
          entries.remove(entry.id());
        }
      }
      late = delayMillis;
    }
    Runnable tell =
        () -> {
          synchronized (this) {
            gatewayByWatcher.forEach(
                (response, gatewayIndex) ->
                    send(response, gatewayIndex, "changes", List.of(changed)));
          }
        };
    if (late > 0) {
      vertx.setTimer(late, id -> tell.run());
    } else {
      tell.run();
    }
  }

  /** Sends a line as it is to all gateways, for lists that are not valid. */
  public synchronized void publishRaw(String line) {
    gatewayByWatcher.keySet().forEach(response -> response.write(line + "\n"));
  }

  /** Delays changes from now on. */
  public synchronized void setDelayMillis(long millis) {
    delayMillis = millis;
  }

  /** Disconnects all gateways, or lets them connect again. */
  public synchronized void setDisconnected(boolean off) {
    isDisconnected = off;
    if (off) {
      List.copyOf(gatewayByWatcher.keySet()).forEach(response -> response.reset());
      gatewayByWatcher.clear();
    }
  }

  /** Gateways that are connected now. */
  public synchronized int watcherCount() {
    return gatewayByWatcher.size();
  }

  private synchronized void removeWatcher(HttpServerResponse response) {
    gatewayByWatcher.remove(response);
  }

  private synchronized void heartbeat() {
    gatewayByWatcher.keySet().forEach(response -> response.write("\n"));
  }

  private void send(
      HttpServerResponse response, int gatewayIndex, String list, List<EndpointEntry> announced) {
    JsonArray servers = new JsonArray();
    long now = TraceRecorder.nowMicros();
    for (EndpointEntry e : announced) {
      servers.add(
          new JsonObject()
              .put("id", e.id())
              .put("host", "127.0.0.1")
              .put("port", e.port())
              .put("zone", e.zone())
              .put("cell", e.cell())
              .put("state", e.state())
              .put("weight", 1)
              .put("started_us", e.startedAtMicros()));
      recorder.record(
          new TraceEvent.EndpointAnnounced(
              now, gatewayIndex, e.id(), e.state(), e.startedAtMicros()));
    }
    response.write(new JsonObject().put("list", list).put("servers", servers).encode() + "\n");
  }

  /** Closes every listener. */
  public synchronized Future<?> close() {
    return Future.join(servers.values().stream().map(HttpServer::close).toList());
  }
}
