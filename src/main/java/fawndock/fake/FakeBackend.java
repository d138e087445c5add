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
 * A fake backend with a queue and a fixed number of cores, which simulates work with timers and
 * responds over HTTP/2 without TLS. It warms up after a start, stops listening when it is
 * overloaded while warming up, and can be given faults while it runs. Its state is accessed only on
 * its own Vert.x context; the public methods may be called from any thread.
 */
public final class FakeBackend {
  /** Faults of a backend, changed through {@link FakeBackend#injectFaults}. */
  public static final class Faults {
    /** Factor by which the work time of each attempt is multiplied. */
    public double workTimeFactor = 1;

    /** Whether attempts are neither executed nor answered. */
    public boolean isUnresponsive;

    /** Share of attempts that are executed but whose response is lost. */
    public double lostResponseRatio;

    /** Share of attempts that are reset without being executed. */
    public double resetRatio;

    /** Share of attempts that are rejected without being executed. */
    public double rejectRatio;

    /** Share of attempts that end with status 500. */
    public double errorRatio;
  }

  /**
   * Capacity and warm-up behaviour of a backend. Immutable.
   *
   * @param workMicros mean work time of an attempt
   * @param queueCapacity maximum of queued attempts
   * @param slowStartInitialRatio speed at a start, as a share of the full speed
   * @param collapseOverloadRatio ratio of the arrivals in the collapse window to the capacity above
   *     which the backend collapses while warming up
   */
  public record BackendConfig(
      int cores,
      long workMicros,
      int queueCapacity,
      double slowStartInitialRatio,
      long slowStartMicros,
      double collapseOverloadRatio,
      long collapseWindowMicros) {
    /** Returns the speed as a share of the full speed; a start time of 0 means fully warmed up. */
    public double slowStartFactor(long startedAtMicros, long nowMicros) {
      double ageMicros = nowMicros - startedAtMicros;
      return startedAtMicros == 0 || ageMicros >= slowStartMicros
          ? 1
          : slowStartInitialRatio + (1 - slowStartInitialRatio) * ageMicros / slowStartMicros;
    }

    /**
     * Returns whether this number of arrivals in the collapse window overloads the backend while it
     * warms up. The limit includes three standard deviations of a Poisson-distributed count.
     */
    public boolean isOverloaded(int arrivals, long startedAtMicros, long nowMicros) {
      if (startedAtMicros == 0
          || nowMicros - startedAtMicros >= slowStartMicros
          || nowMicros - startedAtMicros < collapseWindowMicros) {
        return false;
      }
      double allowed =
          collapseOverloadRatio
              * slowStartFactor(startedAtMicros, nowMicros)
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
      Vertx vertx, String id, BackendConfig config, TraceRecorder recorder, long seed) {
    this.vertx = vertx;
    this.id = id;
    this.config = config;
    this.recorder = recorder;
    this.random = new java.util.SplittableRandom(seed);
    this.context = vertx.getOrCreateContext();
  }

  public String id() {
    return id;
  }

  /** Returns the port, which stays the same after each restart; 0 before the first start. */
  public int port() {
    return port;
  }

  /** Returns when the last warm-up started, in microseconds since 1970; 0 if there was none. */
  public long startedAtMicros() {
    return startedAtMicros;
  }

  /** Starts listening, either warming up or at full speed; completes with the port. */
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
                      connection -> {
                        connections.add(connection);
                        connection.closeHandler(v -> connections.remove(connection));
                      })
                  .requestHandler(this::onRequest);
          return server.listen(port, "127.0.0.1").map(listening -> port = listening.actualPort());
        });
  }

  /** Closes every connection and stops listening, as a killed process does. */
  public Future<Void> kill() {
    return onContext(
        () -> {
          incarnation++;
          queue.clear();
          connections.forEach(HttpConnection::close);
          return server == null ? Future.succeededFuture() : server.close();
        });
  }

  /** Sends GOAWAY on every connection; streams that are already open are still served. */
  public Future<Void> drain() {
    return onContext(
        () -> {
          connections.forEach(
              connection -> connection.shutdown(30, java.util.concurrent.TimeUnit.SECONDS));
          return Future.succeededFuture();
        });
  }

  /** Changes the faults of the running backend. */
  public Future<Void> injectFaults(java.util.function.Consumer<Faults> change) {
    return onContext(
        () -> {
          change.accept(faults);
          return Future.succeededFuture();
        });
  }

  /**
   * Shares a set of idempotency keys with other backends, so that they drop each other's
   * duplicates. The set must be thread-safe.
   */
  public FakeBackend withDeduplicationKeys(Set<String> sharedKeys) {
    appliedKeys = sharedKeys;
    return this;
  }

  /** Sets the size of each response's body in bytes. */
  public FakeBackend withResponseBytes(int bytes) {
    responseBytes = bytes;
    return this;
  }

  private <T> Future<T> onContext(java.util.function.Supplier<Future<T>> action) {
    io.vertx.core.Promise<T> promise = io.vertx.core.Promise.promise();
    context.runOnContext(v -> action.get().onComplete(promise));
    return promise.future();
  }

  private void onRequest(HttpServerRequest request) {
    String requestId = request.getHeader("x-request-id");
    int ownIncarnation = incarnation;
    boolean isRejected =
        random.nextDouble() < faults.rejectRatio || queue.size() >= config.queueCapacity();
    recorder.record(
        new TraceEvent.AttemptArrived(
            TraceRecorder.nowMicros(), requestId, id, ownIncarnation, isRejected));
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

  /** Counts an arrival; returns whether the backend has collapsed from overload during warm-up. */
  private boolean hasCollapsed() {
    long nowMicros = TraceRecorder.nowMicros();
    recentArrivals.add(nowMicros);
    while (!recentArrivals.isEmpty()
        && recentArrivals.peek() < nowMicros - config.collapseWindowMicros()) {
      recentArrivals.poll();
    }
    hasCollapsed |= config.isOverloaded(recentArrivals.size(), startedAtMicros, nowMicros);
    return hasCollapsed;
  }

  private void startQueued() {
    while (busyCores < config.cores() && !queue.isEmpty()) {
      HttpServerRequest request = queue.poll();
      busyCores++;
      double workTimeMicros =
          config.workMicros()
              * faults.workTimeFactor
              / config.slowStartFactor(startedAtMicros, TraceRecorder.nowMicros())
              * (0.5 + random.nextDouble());
      int ownIncarnation = incarnation;
      Runnable onWorkDone =
          () -> {
            if (ownIncarnation == incarnation) {
              busyCores--;
              finish(request);
              startQueued();
            }
          };
      if (workTimeMicros < 500) {
        context.runOnContext(v -> onWorkDone.run());
      } else {
        vertx.setTimer(Math.max(1, Math.round(workTimeMicros / 1_000)), timer -> onWorkDone.run());
      }
    }
  }

  private void finish(HttpServerRequest request) {
    String requestId = request.getHeader("x-request-id");
    String idempotencyKey = request.getHeader("idempotency-key");
    long nowMicros = TraceRecorder.nowMicros();
    if (idempotencyKey == null || appliedKeys.add(idempotencyKey)) {
      recorder.record(new TraceEvent.EffectApplied(nowMicros, requestId, id));
    }
    if (random.nextDouble() < faults.lostResponseRatio || request.response().closed()) {
      return;
    }
    boolean isError = random.nextDouble() < faults.errorRatio;
    request
        .response()
        .setStatusCode(isError ? 500 : 200)
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
