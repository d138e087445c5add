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
 * A fake endpoint discovery server. Each gateway connects to a separate port, so that the trace
 * shows which gateway was notified of which change. Notifications can be delayed and connections
 * can be closed. Thread-safe.
 */
public final class FakeEndpointFeed {
  /** An endpoint; its state on the wire is running, stopping or deleted. */
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

  /** Starts listening for one gateway; completes with the port. */
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
            listening -> {
              synchronized (this) {
                ports.put(gatewayIndex, listening.actualPort());
              }
              return listening.actualPort();
            });
  }

  /** Adds or updates endpoints and notifies all gateways after the configured delay. */
  public void publish(EndpointEntry... changed) {
    long currentDelayMillis;
    synchronized (this) {
      for (EndpointEntry entry : changed) {
        entries.put(entry.id(), entry);
        if (entry.state().equals("deleted")) {
          entries.remove(entry.id());
        }
      }
      currentDelayMillis = delayMillis;
    }
    Runnable notifyGateways =
        () -> {
          synchronized (this) {
            gatewayByWatcher.forEach(
                (response, gatewayIndex) ->
                    send(response, gatewayIndex, "changes", List.of(changed)));
          }
        };
    if (currentDelayMillis > 0) {
      vertx.setTimer(currentDelayMillis, id -> notifyGateways.run());
    } else {
      notifyGateways.run();
    }
  }

  /** Sends a line unchanged to all gateways, so that tests can send invalid lists. */
  public synchronized void publishRaw(String line) {
    gatewayByWatcher.keySet().forEach(response -> response.write(line + "\n"));
  }

  /** Sets the delay of further notifications. */
  public synchronized void setDelayMillis(long millis) {
    delayMillis = millis;
  }

  /** Closes all connections and rejects new ones, or accepts connections again. */
  public synchronized void setDisconnected(boolean disconnected) {
    isDisconnected = disconnected;
    if (disconnected) {
      List.copyOf(gatewayByWatcher.keySet()).forEach(response -> response.reset());
      gatewayByWatcher.clear();
    }
  }

  /** Returns the number of connected gateways. */
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
      HttpServerResponse response,
      int gatewayIndex,
      String listType,
      List<EndpointEntry> announced) {
    JsonArray servers = new JsonArray();
    long now = TraceRecorder.nowMicros();
    for (EndpointEntry entry : announced) {
      servers.add(
          new JsonObject()
              .put("id", entry.id())
              .put("host", "127.0.0.1")
              .put("port", entry.port())
              .put("zone", entry.zone())
              .put("cell", entry.cell())
              .put("state", entry.state())
              .put("weight", 1)
              .put("started_us", entry.startedAtMicros()));
      recorder.record(
          new TraceEvent.EndpointAnnounced(
              now, gatewayIndex, entry.id(), entry.state(), entry.startedAtMicros()));
    }
    response.write(new JsonObject().put("list", listType).put("servers", servers).encode() + "\n");
  }

  /** Closes every listener. */
  public synchronized Future<?> close() {
    return Future.join(servers.values().stream().map(HttpServer::close).toList());
  }
}
