package fawndock.gateway;

import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import fawndock.settings.GatewaySettings.EndpointDiscovery;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The roster: {@code GET /roster} answers with lines of JSON that never end, first a complete list,
 * then changes and complete lists; an empty line is a sign of life. A connection that is lost,
 * silent or unreadable is made anew, and nothing is told meanwhile: what was listed stays listed.
 * An empty complete list is told as a failed one, since a roster that has just started knows
 * nobody; servers that are to go are named as going.
 */
final class EndpointWatch {
  private static final Logger LOG = LoggerFactory.getLogger(EndpointWatch.class);
  private static final int MAX_LINE_BYTES = 8 << 20;
  private static final long INITIAL_BACKOFF_MICROS = 100_000;
  private static final long MAX_BACKOFF_MICROS = 2_000_000;
  private final EndpointDiscovery settings;
  private final Timers timers;
  private final Consumer<EndpointUpdate> listener;
  private final HttpClient http;
  private final Map<String, Address> addresses = new HashMap<>();
  private Object connection = new Object();
  private HttpClientRequest stream;
  private boolean wanted;
  private boolean closed;
  private long backoffMicros = INITIAL_BACKOFF_MICROS;
  private Timers.Timer idleTimer;

  EndpointWatch(
      Vertx vertx, EndpointDiscovery source, Timers alarms, Consumer<EndpointUpdate> told) {
    this.settings = source;
    this.timers = alarms;
    this.listener = told;
    this.http =
        vertx.createHttpClient(
            new HttpClientOptions().setKeepAlive(false).setConnectTimeout(2_000));
  }

  /**
   * Tells what the settings list, then follows the roster unless the gatekeeper must ask for it.
   */
  void start() {
    if (!settings.staticEndpoints().isEmpty() || settings.mustWatchEndpoints()) {
      List<Endpoint> fixed = new ArrayList<>();
      settings
          .staticEndpoints()
          .forEach(
              s -> {
                addresses.put(s.id(), s.address());
                fixed.add(
                    new Endpoint(s.id(), s.zone(), s.cell(), EndpointState.RUNNING, s.weight(), 0));
              });
      listener.accept(new EndpointUpdate(EndpointUpdateKind.CACHED, fixed));
    }
    if (!settings.mustWatchEndpoints()) {
      watch();
    }
  }

  Address address(String server) {
    return addresses.get(server);
  }

  /** Connects anew; the roster begins with its complete list. */
  void watch() {
    if (settings.address() != null && !closed) {
      wanted = true;
      connect();
    }
  }

  private void connect() {
    Object mine = new Object();
    connection = mine;
    resetStream();
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(settings.address().host())
            .setPort(settings.address().port())
            .setURI("/roster");
    restartIdleTimer(mine);
    http.request(options)
        .compose(request -> request.send())
        .onComplete(
            answer -> {
              if (connection != mine) {
                answer.map(r -> r.request().reset());
              } else if (answer.failed()) {
                lost(mine, answer.cause().getMessage());
              } else if (answer.result().statusCode() != 200) {
                answer.result().request().reset();
                lost(mine, "status " + answer.result().statusCode());
              } else {
                follow(mine, answer.result());
              }
            });
  }

  private void follow(Object mine, HttpClientResponse answer) {
    stream = answer.request();
    boolean[] begun = {false};
    RecordParser lines = RecordParser.newDelimited("\n", answer).maxRecordSize(MAX_LINE_BYTES);
    lines.exceptionHandler(e -> lost(mine, e.getMessage()));
    lines.endHandler(end -> lost(mine, "closed"));
    lines.handler(
        line -> {
          if (connection != mine) {
            return;
          }
          restartIdleTimer(mine);
          if (line.length() > 0) {
            try {
              EndpointWatchMessage read = EndpointWatchMessage.parse(line.toString());
              if (!begun[0] && read.kind() != EndpointUpdateKind.SNAPSHOT) {
                throw new IllegalArgumentException("changes before a complete list");
              }
              begun[0] = true;
              backoffMicros = INITIAL_BACKOFF_MICROS;
              onMessage(read);
            } catch (IllegalArgumentException e) {
              lost(mine, e.getMessage());
            }
          }
        });
  }

  private void onMessage(EndpointWatchMessage line) {
    if (line.kind() == EndpointUpdateKind.SNAPSHOT && line.endpoints().isEmpty()) {
      LOG.warn("the roster lists nobody: kept what was known");
      listener.accept(new EndpointUpdate(EndpointUpdateKind.FAILED, List.of()));
      return;
    }
    if (!line.duplicateIds().isEmpty()) {
      LOG.warn("the roster names twice: {}", line.duplicateIds());
    }
    addresses.putAll(line.addresses());
    if (line.kind() == EndpointUpdateKind.SNAPSHOT) {
      addresses.keySet().retainAll(line.addresses().keySet());
    }
    line.endpoints().stream()
        .filter(s -> s.state() == EndpointState.REMOVED)
        .forEach(s -> addresses.remove(s.id()));
    listener.accept(new EndpointUpdate(line.kind(), line.endpoints()));
  }

  private void restartIdleTimer(Object mine) {
    timers.cancel(idleTimer);
    idleTimer = timers.schedule(settings.watchIdleTimeoutMicros(), () -> lost(mine, "silent"));
  }

  private void lost(Object which, String why) {
    if (connection != which || closed || !wanted) {
      return;
    }
    connection = new Object();
    timers.cancel(idleTimer);
    resetStream();
    LOG.warn(
        "roster {} lost ({}), trying again in {} ms; the servers known stay",
        settings.address(),
        why,
        backoffMicros / 1_000);
    Object waiting = connection;
    timers.schedule(
        backoffMicros,
        () -> {
          if (connection == waiting && !closed) {
            connect();
          }
        });
    backoffMicros = Math.min(MAX_BACKOFF_MICROS, backoffMicros * 2);
    if (settings.mustWatchEndpoints()) {
      listener.accept(new EndpointUpdate(EndpointUpdateKind.FAILED, List.of()));
    }
  }

  /** Gives up the stream that was followed, which may be half open or unreadable. */
  private void resetStream() {
    if (stream != null) {
      stream.reset();
      stream = null;
    }
  }

  void close() {
    closed = true;
    timers.cancel(idleTimer);
    http.close();
  }
}
