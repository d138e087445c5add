package fawndock.gateway;

import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import fawndock.settings.GatewaySettings.EndpointDiscovery;
import fawndock.settings.GatewaySettings.StaticEndpoint;
import io.vertx.core.AsyncResult;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches the endpoints at the discovery server. {@code GET /roster} returns an endless stream of
 * JSON lines: a snapshot first, then changes and further snapshots; an empty line is a heartbeat. A
 * stream that is lost, idle or unreadable is reopened, and the known endpoints are kept in the
 * meantime. An empty snapshot is reported as a failed update, since a discovery server that has
 * just started has no endpoints; endpoints are taken out of service by listing them as draining or
 * removed. The watch is confined to one event-loop context.
 */
final class EndpointWatch implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(EndpointWatch.class);
  private static final int MAX_LINE_BYTES = 8 << 20;
  private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
  private static final long INITIAL_BACKOFF_MICROS = 100_000;
  private static final long MAX_BACKOFF_MICROS = 2_000_000;

  private final EndpointDiscovery settings;
  private final Timers timers;
  private final Consumer<EndpointUpdate> listener;
  private final HttpClient httpClient;
  private final Map<String, Address> addresses = new HashMap<>();
  private final Set<String> drainingIds = new HashSet<>();

  /**
   * The active stream, or a placeholder for the one that is opened after the backoff; events of all
   * other streams are ignored.
   */
  private WatchStream current = new WatchStream();

  private boolean isStarted;
  private boolean isClosed;
  private long backoffMicros = INITIAL_BACKOFF_MICROS;
  private Timers.Timer idleTimer;

  /** One stream, from the connection attempt to its end. */
  private static final class WatchStream {
    /** Null until the response head arrives. */
    HttpClientRequest request;

    boolean hasSnapshot;

    void reset() {
      if (request != null) {
        var unused = request.reset(); // The stream may be half-open or unreadable.
        request = null;
      }
    }
  }

  /** Creates a watch that {@link #start} starts. The listener receives updates on its context. */
  EndpointWatch(
      Vertx vertx, EndpointDiscovery settings, Timers timers, Consumer<EndpointUpdate> listener) {
    this.settings = settings;
    this.timers = timers;
    this.listener = listener;
    this.httpClient =
        vertx.createHttpClient(
            new HttpClientOptions().setKeepAlive(false).setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
  }

  /**
   * Reports the endpoints of the settings, then starts the watch unless the settings leave that to
   * the policy.
   */
  void start() {
    if (!settings.staticEndpoints().isEmpty() || settings.watchesOnDemand()) {
      List<Endpoint> endpoints = new ArrayList<>();
      for (StaticEndpoint endpoint : settings.staticEndpoints()) {
        addresses.put(endpoint.id(), endpoint.address());
        endpoints.add(
            new Endpoint(
                endpoint.id(),
                endpoint.zone(),
                endpoint.cell(),
                EndpointState.RUNNING,
                endpoint.weight(),
                0));
      }
      listener.accept(new EndpointUpdate(EndpointUpdateKind.CACHED, endpoints));
    }
    if (!settings.watchesOnDemand()) {
      watch();
    }
  }

  /** Returns the address of an endpoint, or null if it is unknown. */
  Address address(String endpointId) {
    return addresses.get(endpointId);
  }

  /** Returns whether an endpoint is known and not draining, so that requests may be sent to it. */
  boolean isAvailable(String endpointId) {
    return addresses.containsKey(endpointId) && !drainingIds.contains(endpointId);
  }

  /** Opens or reopens the stream, which the discovery server starts with a snapshot. */
  void watch() {
    if (settings.address() != null && !isClosed) {
      isStarted = true;
      connect();
    }
  }

  private void connect() {
    WatchStream previous = current;
    WatchStream stream = new WatchStream();
    current = stream; // Set first, so that events from resetting the previous stream are ignored.
    previous.reset();
    restartIdleTimer(stream);
    httpClient
        .request(
            new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(settings.address().host())
                .setPort(settings.address().port())
                .setURI("/roster"))
        .compose(request -> request.send())
        .onComplete(response -> onResponse(stream, response));
  }

  private void onResponse(WatchStream stream, AsyncResult<HttpClientResponse> response) {
    if (current != stream) {
      if (response.succeeded()) {
        var unused = response.result().request().reset(); // Another stream has replaced this one.
      }
    } else if (response.failed()) {
      onLost(stream, response.cause().getMessage());
    } else if (response.result().statusCode() != 200) {
      stream.request = response.result().request();
      onLost(stream, "status " + response.result().statusCode());
    } else {
      stream.request = response.result().request();
      readLines(stream, response.result());
    }
  }

  private void readLines(WatchStream stream, HttpClientResponse response) {
    RecordParser lines = RecordParser.newDelimited("\n", response).maxRecordSize(MAX_LINE_BYTES);
    lines.exceptionHandler(e -> onLost(stream, e.getMessage()));
    lines.endHandler(end -> onLost(stream, "closed"));
    lines.handler(
        line -> {
          if (current == stream) {
            restartIdleTimer(stream);
            onLine(stream, line);
          }
        });
  }

  private void onLine(WatchStream stream, Buffer line) {
    if (line.length() == 0) {
      return; // An empty line is a heartbeat.
    }
    try {
      EndpointWatchParser.Message message = EndpointWatchParser.parse(line.toString());
      if (!stream.hasSnapshot && message.kind() != EndpointUpdateKind.SNAPSHOT) {
        throw new IllegalArgumentException("changes received before a complete list");
      }
      stream.hasSnapshot = true;
      backoffMicros = INITIAL_BACKOFF_MICROS;
      onMessage(message);
    } catch (IllegalArgumentException e) {
      onLost(stream, e.getMessage());
    }
  }

  private void onMessage(EndpointWatchParser.Message message) {
    boolean isSnapshot = message.kind() == EndpointUpdateKind.SNAPSHOT;
    if (isSnapshot && message.endpoints().isEmpty()) {
      LOG.warn("empty endpoint list ignored: address={}", settings.address());
      listener.accept(new EndpointUpdate(EndpointUpdateKind.FAILED, List.of()));
      return;
    }
    if (!message.duplicateIds().isEmpty()) {
      LOG.warn("endpoints listed twice: ids={}", message.duplicateIds());
    }
    addresses.putAll(message.addresses());
    if (isSnapshot) {
      addresses.keySet().retainAll(message.addresses().keySet());
      drainingIds.clear();
    }
    message.endpoints().forEach(this::updateState);
    listener.accept(new EndpointUpdate(message.kind(), message.endpoints()));
  }

  private void updateState(Endpoint endpoint) {
    if (endpoint.state() == EndpointState.DRAINING) {
      drainingIds.add(endpoint.id());
    } else {
      drainingIds.remove(endpoint.id());
    }
    if (endpoint.state() == EndpointState.REMOVED) {
      addresses.remove(endpoint.id());
    }
  }

  private void restartIdleTimer(WatchStream stream) {
    timers.cancel(idleTimer);
    idleTimer = timers.schedule(settings.watchIdleTimeoutMicros(), () -> onLost(stream, "silent"));
  }

  private void onLost(WatchStream stream, String reason) {
    if (current != stream || isClosed || !isStarted) {
      return;
    }
    WatchStream next = new WatchStream();
    current = next; // Set first, so that events from resetting the lost stream are ignored.
    timers.cancel(idleTimer);
    stream.reset();
    LOG.warn(
        "endpoint watch lost, reconnecting: address={} reason=\"{}\" backoff_ms={}",
        settings.address(),
        reason,
        backoffMicros / 1_000);
    timers.schedule(
        backoffMicros,
        () -> {
          if (current == next && !isClosed) {
            connect();
          }
        });
    backoffMicros = Math.min(MAX_BACKOFF_MICROS, backoffMicros * 2);
    if (settings.watchesOnDemand()) {
      listener.accept(new EndpointUpdate(EndpointUpdateKind.FAILED, List.of()));
    }
  }

  /** Closes the stream and the HTTP client. Closing it again has no effect. */
  @Override
  public void close() {
    isClosed = true;
    timers.cancel(idleTimer);
    var unused = httpClient.close(); // The process or the event loop is closing.
  }
}
