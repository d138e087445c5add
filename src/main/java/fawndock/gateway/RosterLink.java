package fawndock.gateway;

import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import fawndock.settings.GatewaySettings.RosterSource;
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
final class RosterLink {
  private static final Logger LOG = LoggerFactory.getLogger(RosterLink.class);
  private static final int LONGEST_LINE = 8 << 20;
  private static final long FIRST_PAUSE = 100_000;
  private static final long LONGEST_PAUSE = 2_000_000;
  private final RosterSource source;
  private final Timers alarms;
  private final Consumer<EndpointUpdate> told;
  private final HttpClient http;
  private final Map<String, Address> addresses = new HashMap<>();
  private Object connection = new Object();
  private HttpClientRequest stream;
  private boolean wanted;
  private boolean closed;
  private long pause = FIRST_PAUSE;
  private Timers.Timer silence;

  RosterLink(Vertx vertx, RosterSource source, Timers alarms, Consumer<EndpointUpdate> told) {
    this.source = source;
    this.alarms = alarms;
    this.told = told;
    this.http =
        vertx.createHttpClient(
            new HttpClientOptions().setKeepAlive(false).setConnectTimeout(2_000));
  }

  /**
   * Tells what the settings list, then follows the roster unless the gatekeeper must ask for it.
   */
  void start() {
    if (!source.fixed().isEmpty() || source.mustAsk()) {
      List<Endpoint> fixed = new ArrayList<>();
      source
          .fixed()
          .forEach(
              s -> {
                addresses.put(s.id(), s.address());
                fixed.add(
                    new Endpoint(s.id(), s.zone(), s.cell(), EndpointState.RUNNING, s.weight(), 0));
              });
      told.accept(new EndpointUpdate(EndpointUpdateKind.CACHED, fixed));
    }
    if (!source.mustAsk()) {
      watch();
    }
  }

  Address address(String server) {
    return addresses.get(server);
  }

  /** Connects anew; the roster begins with its complete list. */
  void watch() {
    if (source.address() != null && !closed) {
      wanted = true;
      connect();
    }
  }

  private void connect() {
    Object mine = new Object();
    connection = mine;
    leave();
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(source.address().host())
            .setPort(source.address().port())
            .setURI("/roster");
    alive(mine);
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
    RecordParser lines = RecordParser.newDelimited("\n", answer).maxRecordSize(LONGEST_LINE);
    lines.exceptionHandler(e -> lost(mine, e.getMessage()));
    lines.endHandler(end -> lost(mine, "closed"));
    lines.handler(
        line -> {
          if (connection != mine) {
            return;
          }
          alive(mine);
          if (line.length() > 0) {
            try {
              RosterLine read = RosterLine.parse(line.toString());
              if (!begun[0] && read.listing() != EndpointUpdateKind.SNAPSHOT) {
                throw new IllegalArgumentException("changes before a complete list");
              }
              begun[0] = true;
              pause = FIRST_PAUSE;
              take(read);
            } catch (IllegalArgumentException e) {
              lost(mine, e.getMessage());
            }
          }
        });
  }

  private void take(RosterLine line) {
    if (line.listing() == EndpointUpdateKind.SNAPSHOT && line.servers().isEmpty()) {
      LOG.warn("the roster lists nobody: kept what was known");
      told.accept(new EndpointUpdate(EndpointUpdateKind.FAILED, List.of()));
      return;
    }
    if (!line.twice().isEmpty()) {
      LOG.warn("the roster names twice: {}", line.twice());
    }
    addresses.putAll(line.addresses());
    if (line.listing() == EndpointUpdateKind.SNAPSHOT) {
      addresses.keySet().retainAll(line.addresses().keySet());
    }
    line.servers().stream()
        .filter(s -> s.state() == EndpointState.REMOVED)
        .forEach(s -> addresses.remove(s.id()));
    told.accept(new EndpointUpdate(line.listing(), line.servers()));
  }

  private void alive(Object mine) {
    alarms.cancel(silence);
    silence = alarms.schedule(source.silenceMicros(), () -> lost(mine, "silent"));
  }

  private void lost(Object which, String why) {
    if (connection != which || closed || !wanted) {
      return;
    }
    connection = new Object();
    alarms.cancel(silence);
    leave();
    LOG.warn(
        "roster {} lost ({}), trying again in {} ms; the servers known stay",
        source.address(),
        why,
        pause / 1_000);
    Object waiting = connection;
    alarms.schedule(
        pause,
        () -> {
          if (connection == waiting && !closed) {
            connect();
          }
        });
    pause = Math.min(LONGEST_PAUSE, pause * 2);
    if (source.mustAsk()) {
      told.accept(new EndpointUpdate(EndpointUpdateKind.FAILED, List.of()));
    }
  }

  /** Gives up the stream that was followed, which may be half open or unreadable. */
  private void leave() {
    if (stream != null) {
      stream.reset();
      stream = null;
    }
  }

  void close() {
    closed = true;
    alarms.cancel(silence);
    http.close();
  }
}
