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
 * A server that does timed work on a few cores behind a queue and answers over HTTP/2 without TLS.
 * It warms up after a cold start, falls over when it is sent too much while cold, and takes faults
 * while it runs. Every field is its context's; {@link #change} is the way in.
 */
public final class FakeBackend {
  /** Faults, to be set through {@link FakeBackend#change}. */
  public static final class Faults {
    /** Work takes so many times as long. */
    public double workTimeFactor = 1;

    /** Nothing is answered and nothing runs. */
    public boolean isUnresponsive;

    /**
     * Shares of attempts whose answer is lost after the work ran, that are reset, that are refused
     * unrun.
     */
    public double lostResponseRatio;

    public double resetRatio;
    public double rejectRatio;

    /** Share of attempts that end with status 500. */
    public double errorRatio;
  }

  /**
   * How a worker is built: cores, microseconds of work an attempt, room to wait, and how it warms
   * and falls.
   */
  public record BackendConfig(
      int cores,
      long workMicros,
      int queueCapacity,
      double slowStartShare,
      long slowStartMicros,
      double collapseMultiple,
      long collapseWindowMicros) {
    /** Its speed as a share of when it is warm; a start at 0 is long ago. */
    public double slowStartFactor(long startedAt, long now) {
      double age = now - startedAt;
      return startedAt == 0 || age >= slowStartMicros
          ? 1
          : slowStartShare + (1 - slowStartShare) * age / slowStartMicros;
    }

    /**
     * Whether so many arrivals of late, in the time in which it falls, are too many for its warmth.
     */
    public boolean isOverloaded(int arrivals, long startedAt, long now) {
      if (startedAt == 0
          || now - startedAt >= slowStartMicros
          || now - startedAt < collapseWindowMicros) {
        return false;
      }
      double may =
          collapseMultiple
              * slowStartFactor(startedAt, now)
              * cores
              * collapseWindowMicros
              / workMicros;
      return arrivals > may + 3 * Math.sqrt(may);
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

  /** When it last started cold, or 0. */
  public long startedAtMicros() {
    return startedAtMicros;
  }

  /** Starts listening, cold or warm. */
  public Future<Integer> start(boolean cold) {
    return onContext(
        () -> {
          incarnation++;
          hasCollapsed = false;
          busyCores = 0;
          queue.clear();
          recentArrivals.clear();
          startedAtMicros = cold ? TraceRecorder.nowMicros() : 0;
          recorder.record(
              new TraceEvent.EndpointStarted(
                  TraceRecorder.nowMicros(),
                  id,
                  incarnation,
                  cold,
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

  /** Dies: every connection breaks, nothing listens. */
  public Future<Void> kill() {
    return onContext(
        () -> {
          incarnation++;
          queue.clear();
          connections.forEach(HttpConnection::close);
          return server == null ? Future.succeededFuture() : server.close();
        });
  }

  /** Tells every connection to go away: streams up to the last one still run. */
  public Future<Void> drain() {
    return onContext(
        () -> {
          connections.forEach(c -> c.shutdown(30, java.util.concurrent.TimeUnit.SECONDS));
          return Future.succeededFuture();
        });
  }

  /** Changes faults while it runs. */
  public Future<Void> injectFaults(java.util.function.Consumer<Faults> how) {
    return onContext(
        () -> {
          how.accept(faults);
          return Future.succeededFuture();
        });
  }

  /**
   * Drops repeats together with others that use the same set; it must be safe for several threads.
   */
  public FakeBackend withDeduplicationKeys(Set<String> shared) {
    appliedKeys = shared;
    return this;
  }

  /** The size of each answer's body in bytes. */
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
    int mine = incarnation;
    boolean refuse =
        random.nextDouble() < faults.rejectRatio || queue.size() >= config.queueCapacity();
    recorder.record(
        new TraceEvent.AttemptArrived(TraceRecorder.nowMicros(), name, id, mine, refuse));
    if (hasCollapsed()) {
      kill();
      return;
    }
    if (faults.isUnresponsive) {
      return;
    }
    if (refuse) {
      request.response().reset(7);
    } else if (random.nextDouble() < faults.resetRatio) {
      request.response().reset(2);
    } else {
      queue.add(request);
      startQueued();
    }
  }

  /** Whether it has fallen over: it was sent too much for its warmth for too long. */
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
      int mine = incarnation;
      Runnable finished =
          () -> {
            if (mine == incarnation) {
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
