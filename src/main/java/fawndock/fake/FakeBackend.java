package fawndock.fake;

import fawndock.conformance.TraceEvent;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.Http2Settings;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * A backend that does timed work on a few cores behind a queue and responds over HTTP/2 without
 * TLS. It warms up after a start, collapses when it is overloaded while warming up, and takes
 * faults while it runs. Its state is used on its own Vert.x context; the public methods may be
 * called from any thread.
 */
public final class FakeBackend {
  /** Faults, to be set through {@link FakeBackend#injectFaults}. */
  public static final class Faults {
    /** Multiplies the time of work. */
    public double workTimeFactor = 1;

    /** Whether attempts neither run nor get a response. */
    public boolean isUnresponsive;

    /** Shares of attempts whose response is lost, that are reset, that are rejected unrun. */
    public double lostResponseRatio;

    public double resetRatio;
    public double rejectRatio;

    /** Share of attempts that end with status 500. */
    public double errorRatio;
  }

  /**
   * How a backend is built.
   *
   * @param workMicros mean work of an attempt
   * @param queueCapacity attempts that may queue
   * @param slowStartInitialRatio its speed at a start, as a share of its full speed
   * @param collapseOverloadRatio of what it can do, beyond which it collapses while warming up
   */
  public record BackendConfig(
      int cores,
      long workMicros,
      int queueCapacity,
      double slowStartInitialRatio,
      long slowStartMicros,
      double collapseOverloadRatio,
      long collapseWindowMicros) {
    /** Its speed as a share of its full speed; a start at 0 is long ago. */
    public double slowStartFactor(long startedAt, long now) {
      double age = now - startedAt;
      return startedAt == 0 || age >= slowStartMicros
          ? 1
          : slowStartInitialRatio + (1 - slowStartInitialRatio) * age / slowStartMicros;
    }

    /** Whether so many arrivals in the collapse window are too many for its slow start. */
    public boolean isOverloaded(int arrivals, long startedAt, long now) {
      if (startedAt == 0
          || now - startedAt >= slowStartMicros
          || now - startedAt < collapseWindowMicros) {
        return false;
      }
      double allowed =
          collapseOverloadRatio
              * slowStartFactor(startedAt, now)
              * cores
              * collapseWindowMicros
              / workMicros;
      return arrivals > allowed + 3 * Math.sqrt(allowed);
    }
  }

  private final String id;
  private final BackendConfig config;
  private final TraceRecorder recorder;
  private final Vertx vertx;
  private final Context context;
  private final java.util.SplittableRandom random;
  private final Faults faults = new Faults();
  private final ArrayDeque<HttpServerRequest> queue = new ArrayDeque<>();
  private final ArrayDeque<Long> recentArrivals = new ArrayDeque<>();
  private final Set<HttpConnection> connections = new HashSet<>();
  private Set<String> appliedKeys = new HashSet<>();
  private HttpServer server;
  private int port;
  private int busyCores;
  private int incarnation;
  private long startedAtMicros;
  private boolean hasCollapsed;
  private int responseBytes = 64;

  public FakeBackend(
      Vertx vertx, String id, BackendConfig build, TraceRecorder recorder, long seed) {
    this.vertx = vertx;
    this.id = id;
    this.config = build;
    this.recorder = recorder;
    this.random = new java.util.SplittableRandom(seed);
    this.context = vertx.getOrCreateContext();
  }

  public String id() {
    return id;
  }

  /** The port of the last start; the same after each restart. */
  public int port() {
    return port;
  }

  /** When it last started warming up, in microseconds since 1970, or 0. */
  public long startedAtMicros() {
    return startedAtMicros;
  }

  /** Starts listening, warming up or at full speed. */
  public Future<Integer> start(boolean isWarmingUp) {
    return onContext(
        () -> {
          incarnation++;
          hasCollapsed = false;
          busyCores = 0;
          queue.clear();
          recentArrivals.clear();
          startedAtMicros = isWarmingUp ? TraceRecorder.nowMicros() : 0;
          recorder.record(
              new TraceEvent.EndpointStarted(
                  TraceRecorder.nowMicros(),
                  id,
                  incarnation,
                  isWarmingUp,
                  config.cores() * 1e6 / config.workMicros()));
          server =
              vertx
                  .createHttpServer(
                      new HttpServerOptions()
                          .setHttp2ClearTextEnabled(true)
                          .setTcpNoDelay(true)
                          .setHttp2RstFloodMaxRstFramePerWindow(1_000_000)
                          .setInitialSettings(new Http2Settings().setMaxConcurrentStreams(10_000)))
                  .connectionHandler(
                      c -> {
                        connections.add(c);
                        c.closeHandler(v -> connections.remove(c));
                      })
                  .requestHandler(this::onRequest);
          return server.listen(port, "127.0.0.1").map(s -> port = s.actualPort());
        });
  }

  /** Breaks every connection and stops listening, as a killed process does. */
  public Future<Void> kill() {
    return onContext(
        () -> {
          incarnation++;
          queue.clear();
          connections.forEach(HttpConnection::close);
          return server == null ? Future.succeededFuture() : server.close();
        });
  }

  /** Sends GOAWAY on every connection: streams up to the last one still run. */
  public Future<Void> drain() {
    return onContext(
        () -> {
          connections.forEach(c -> c.shutdown(30, java.util.concurrent.TimeUnit.SECONDS));
          return Future.succeededFuture();
        });
  }

  /** Changes the faults while it runs. */
  public Future<Void> injectFaults(java.util.function.Consumer<Faults> how) {
    return onContext(
        () -> {
          how.accept(faults);
          return Future.succeededFuture();
        });
  }

  /**
   * Drops duplicates together with other backends that use the same set, which must be safe for
   * several threads.
   */
  public FakeBackend withDeduplicationKeys(Set<String> shared) {
    appliedKeys = shared;
    return this;
  }

  /** Sets the size of each response's body in bytes. */
  public FakeBackend withResponseBytes(int bytes) {
    responseBytes = bytes;
    return this;
  }

  private <T> Future<T> onContext(java.util.function.Supplier<Future<T>> what) {
    io.vertx.core.Promise<T> done = io.vertx.core.Promise.promise();
    context.runOnContext(v -> what.get().onComplete(done));
    return done.future();
  }

  private void onRequest(HttpServerRequest request) {
    String name = request.getHeader("x-request-id");
    int ownIncarnation = incarnation;
    boolean isRejected =
        random.nextDouble() < faults.rejectRatio || queue.size() >= config.queueCapacity();
    recorder.record(
        new TraceEvent.AttemptArrived(
            TraceRecorder.nowMicros(), name, id, ownIncarnation, isRejected));
    if (hasCollapsed()) {
      kill();
      return;
    }
    if (faults.isUnresponsive) {
      return;
    }
    if (isRejected) {
      request.response().reset(7);
    } else if (random.nextDouble() < faults.resetRatio) {
      request.response().reset(2);
    } else {
      queue.add(request);
      startQueued();
    }
  }

  /** Whether it has collapsed: it was overloaded while warming up. */
  private boolean hasCollapsed() {
    long now = TraceRecorder.nowMicros();
    recentArrivals.add(now);
    while (!recentArrivals.isEmpty()
        && recentArrivals.peek() < now - config.collapseWindowMicros()) {
      recentArrivals.poll();
    }
    hasCollapsed |= config.isOverloaded(recentArrivals.size(), startedAtMicros, now);
    return hasCollapsed;
  }

  private void startQueued() {
    while (busyCores < config.cores() && !queue.isEmpty()) {
      HttpServerRequest request = queue.poll();
      busyCores++;
      double micros =
          config.workMicros()
              * faults.workTimeFactor
              / config.slowStartFactor(startedAtMicros, TraceRecorder.nowMicros())
              * (0.5 + random.nextDouble());
      int ownIncarnation = incarnation;
      Runnable finished =
          () -> {
            if (ownIncarnation == incarnation) {
              busyCores--;
              finish(request);
              startQueued();
            }
          };
      if (micros < 500) {
        context.runOnContext(v -> finished.run());
      } else {
        vertx.setTimer(Math.max(1, Math.round(micros / 1_000)), timer -> finished.run());
      }
    }
  }

  private void finish(HttpServerRequest request) {
    String name = request.getHeader("x-request-id");
    String key = request.getHeader("idempotency-key");
    long now = TraceRecorder.nowMicros();
    if (key == null || appliedKeys.add(key)) {
      recorder.record(new TraceEvent.EffectApplied(now, name, id));
    }
    if (random.nextDouble() < faults.lostResponseRatio || request.response().closed()) {
      return;
    }
    boolean error = random.nextDouble() < faults.errorRatio;
    request
        .response()
        .setStatusCode(error ? 500 : 200)
        .putHeader(
            "endpoint-load-metrics",
            "TEXT cpu_utilization="
                + (double) busyCores / config.cores()
                + ",named_metrics.queue="
                + queue.size()
                + ",named_metrics.in_flight="
                + (busyCores + queue.size()))
        .end("x".repeat(responseBytes));
  }
}
