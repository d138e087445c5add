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
    public double slow = 1;

    /** Nothing is answered and nothing runs. */
    public boolean silent;

    /**
     * Shares of attempts whose answer is lost after the work ran, that are reset, that are refused
     * unrun.
     */
    public double loseAnswers;

    public double resets;
    public double refuses;

    /** Share of attempts that end with status 500. */
    public double errors;
  }

  /**
   * How a worker is built: cores, microseconds of work an attempt, room to wait, and how it warms
   * and falls.
   */
  public record Build(
      int cores,
      long workMicros,
      int queue,
      double coldShare,
      long coldMicros,
      double fallMultiple,
      long fallMicros) {
    /** Its speed as a share of when it is warm; a start at 0 is long ago. */
    public double warmth(long startedAt, long now) {
      double age = now - startedAt;
      return startedAt == 0 || age >= coldMicros
          ? 1
          : coldShare + (1 - coldShare) * age / coldMicros;
    }

    /**
     * Whether so many arrivals of late, in the time in which it falls, are too many for its warmth.
     */
    public boolean pushedOver(int arrivals, long startedAt, long now) {
      if (startedAt == 0 || now - startedAt >= coldMicros || now - startedAt < fallMicros) {
        return false;
      }
      double may = fallMultiple * warmth(startedAt, now) * cores * fallMicros / workMicros;
      return arrivals > may + 3 * Math.sqrt(may);
    }
  }

  private final String id;
  private final Build build;
  private final TraceRecorder recorder;
  private final Vertx vertx;
  private final Context context;
  private final java.util.SplittableRandom random;
  private final Faults faults = new Faults();
  private final ArrayDeque<HttpServerRequest> waiting = new ArrayDeque<>();
  private final ArrayDeque<Long> arrivals = new ArrayDeque<>();
  private final Set<HttpConnection> connections = new HashSet<>();
  private Set<String> keys = new HashSet<>();
  private HttpServer server;
  private int port;
  private int busy;
  private int life;
  private long startedAt;
  private boolean fell;
  private int body = 64;

  public FakeBackend(Vertx vertx, String id, Build build, TraceRecorder recorder, long seed) {
    this.vertx = vertx;
    this.id = id;
    this.build = build;
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
  public long startedAt() {
    return startedAt;
  }

  /** Starts listening, cold or warm. */
  public Future<Integer> start(boolean cold) {
    return onContext(
        () -> {
          life++;
          fell = false;
          busy = 0;
          waiting.clear();
          arrivals.clear();
          startedAt = cold ? TraceRecorder.now() : 0;
          recorder.add(
              new TraceEvent.Came(
                  TraceRecorder.now(), id, life, cold, build.cores() * 1e6 / build.workMicros()));
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
                  .requestHandler(this::arrive);
          return server.listen(port, "127.0.0.1").map(s -> port = s.actualPort());
        });
  }

  /** Dies: every connection breaks, nothing listens. */
  public Future<Void> die() {
    return onContext(
        () -> {
          life++;
          waiting.clear();
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
  public Future<Void> change(java.util.function.Consumer<Faults> how) {
    return onContext(
        () -> {
          how.accept(faults);
          return Future.succeededFuture();
        });
  }

  /**
   * Drops repeats together with others that use the same set; it must be safe for several threads.
   */
  public FakeBackend droppingRepeatsBy(Set<String> shared) {
    keys = shared;
    return this;
  }

  /** The size of each answer's body in bytes. */
  public FakeBackend answerBytes(int bytes) {
    body = bytes;
    return this;
  }

  private <T> Future<T> onContext(java.util.function.Supplier<Future<T>> what) {
    io.vertx.core.Promise<T> done = io.vertx.core.Promise.promise();
    context.runOnContext(v -> what.get().onComplete(done));
    return done.future();
  }

  private void arrive(HttpServerRequest request) {
    String name = request.getHeader("x-request-id");
    int mine = life;
    boolean refuse = random.nextDouble() < faults.refuses || waiting.size() >= build.queue();
    recorder.add(new TraceEvent.Arrived(TraceRecorder.now(), name, id, mine, refuse));
    if (pushedOver()) {
      die();
      return;
    }
    if (faults.silent) {
      return;
    }
    if (refuse) {
      request.response().reset(7);
    } else if (random.nextDouble() < faults.resets) {
      request.response().reset(2);
    } else {
      waiting.add(request);
      next();
    }
  }

  /** Whether it has fallen over: it was sent too much for its warmth for too long. */
  private boolean pushedOver() {
    long now = TraceRecorder.now();
    arrivals.add(now);
    while (!arrivals.isEmpty() && arrivals.peek() < now - build.fallMicros()) {
      arrivals.poll();
    }
    fell |= build.pushedOver(arrivals.size(), startedAt, now);
    return fell;
  }

  private void next() {
    while (busy < build.cores() && !waiting.isEmpty()) {
      HttpServerRequest request = waiting.poll();
      busy++;
      double micros =
          build.workMicros()
              * faults.slow
              / build.warmth(startedAt, TraceRecorder.now())
              * (0.5 + random.nextDouble());
      int mine = life;
      Runnable finished =
          () -> {
            if (mine == life) {
              busy--;
              finish(request);
              next();
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
    long now = TraceRecorder.now();
    if (key == null || keys.add(key)) {
      recorder.add(new TraceEvent.Ran(now, name, id));
    }
    if (random.nextDouble() < faults.loseAnswers || request.response().closed()) {
      return;
    }
    boolean error = random.nextDouble() < faults.errors;
    request
        .response()
        .setStatusCode(error ? 500 : 200)
        .putHeader(
            "endpoint-load-metrics",
            "TEXT cpu_utilization="
                + (double) busy / build.cores()
                + ",named_metrics.queue="
                + waiting.size()
                + ",named_metrics.in_flight="
                + (busy + waiting.size()))
        .end("x".repeat(body));
  }
}
