package fawndock.loadgen;

import fawndock.loadgen.LoadPlan.Flow;
import fawndock.loadgen.LoadPlan.Request;
import fawndock.loadgen.RequestSchedule.ScheduledRequest;
import fawndock.settings.Address;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Sends what is due when it is due, whatever became of what was sent before. One event loop; at
 * most the plan's number of requests is out, and what is due beyond it is counted as not sent,
 * which makes the run unusable.
 */
public final class LoadGenerator {
  /** How it goes, told at each interval and at the end. */
  public record Progress(
      double seconds, long due, long good, long other, int out, long p50Micros, long p99Micros) {}

  private static final int HTTP2_STREAMS = 1_000;
  private static final int TICK_MILLIS = 1;
  private static final int WARM_REQUESTS = 500;
  static final long WARM_MILLIS = 5_000;
  private final Vertx vertx;
  private final LoadPlan plan;
  private final RequestSchedule schedule;
  private final List<FlowStatistics> statistics = new ArrayList<>();
  private final List<HttpClient> clients = new ArrayList<>();
  private final Consumer<Progress> progressListener;
  private final Consumer<List<FlowStatistics>> intervalListener;
  private final CompletableFuture<List<FlowStatistics>> done = new CompletableFuture<>();
  private final SplittableRandom random;
  private long startedAtNanos;
  private double nextIntervalSeconds;
  private int requestCount;
  private int inFlightCount;
  private int pendingRetryCount;
  private boolean isStopped;

  /** Whether the run has begun: its clients may be closed at any time. */
  private boolean isWarmUpOver;

  /**
   * A run that has not begun.
   *
   * @param traces read, in the order of the plan's
   * @param interval told at each interval, before what the statistics hold of it is cleared
   */
  public LoadGenerator(
      Vertx vertx,
      LoadPlan plan,
      List<RequestTrace.Read> traces,
      Consumer<Progress> progress,
      Consumer<List<FlowStatistics>> interval) {
    this.vertx = vertx;
    this.plan = plan;
    this.progressListener = progress;
    this.intervalListener = interval;
    schedule = new RequestSchedule(plan, traces);
    random = new SplittableRandom(plan.seed());
    plan.flows().forEach(flow -> statistics.add(new FlowStatistics()));
    plan.traces().forEach(trace -> statistics.add(new FlowStatistics()));
    for (int i = 0; i < plan.targets().size(); i++) {
      clients.add(
          vertx.createHttpClient(
              new HttpClientOptions()
                  .setTcpNoDelay(true)
                  .setConnectTimeout(5_000)
                  .setProtocolVersion(plan.http2() ? HttpVersion.HTTP_2 : HttpVersion.HTTP_1_1)
                  .setHttp2ClearTextUpgrade(false)
                  .setHttp2MultiplexingLimit(HTTP2_STREAMS),
              new PoolOptions()
                  .setHttp1MaxSize(plan.connections())
                  .setHttp2MaxSize(plan.connections())
                  .setMaxWaitQueueSize(-1))); // Bounded by what may be in flight.
    }
  }

  /**
   * Runs; completes when the last request has ended, with statistics for each flow and trace of the
   * plan.
   */
  public CompletableFuture<List<FlowStatistics>> run() {
    vertx.runOnContext(
        v ->
            warmUp(
                () -> {
                  startedAtNanos = System.nanoTime();
                  nextIntervalSeconds = plan.intervalSeconds();
                  for (int i = 0; i < plan.flows().size(); i++) {
                    Flow flow = plan.flows().get(i);
                    CustomerSelector customers =
                        new CustomerSelector(flow.customers(), flow.skew());
                    for (int client = 0; client < flow.closed(); client++) {
                      runClosedLoopClient(flow, i, customers);
                    }
                  }
                  sendDue();
                }));
    return done;
  }

  /**
   * Asks a server of its own first. Guards against the generator's own cold start, half a second of
   * it, in the figures; it keeps a run from its first request for that long.
   */
  private void warmUp(Runnable then) {
    Runnable once =
        () -> {
          if (!isWarmUpOver) {
            isWarmUpOver = true;
            then.run();
          }
        };
    HttpServer server =
        vertx.createHttpServer().requestHandler(request -> request.response().end());
    vertx.setTimer(WARM_MILLIS, id -> once.run());
    server
        .listen(0, "127.0.0.1")
        .onSuccess(
            s ->
                sendWarmUpRequest(
                    s.actualPort(),
                    WARM_REQUESTS,
                    () -> {
                      server.close();
                      once.run();
                    }))
        .onFailure(e -> once.run());
  }

  private void sendWarmUpRequest(int port, int left, Runnable then) {
    if (left == 0 || isWarmUpOver) {
      then.run();
      return;
    }
    clients
        .get(0)
        .request(new RequestOptions().setHost("127.0.0.1").setPort(port).setURI("/"))
        .compose(request -> request.send())
        .compose(answer -> answer.body())
        .onComplete(answer -> sendWarmUpRequest(port, left - 1, then));
  }

  /** Sends nothing new; what is in flight ends. */
  public void stop() {
    vertx.runOnContext(v -> isStopped = true);
  }

  private long now() {
    return (System.nanoTime() - startedAtNanos) / 1_000;
  }

  private void sendDue() {
    long now = now();
    for (ScheduledRequest due = isStopped ? null : schedule.next(now);
        due != null;
        due = schedule.next(now)) {
      begin(due, due.atMicros(), 1, () -> {});
    }
    boolean isOver = isStopped || (schedule.done() && now >= plan.seconds() * 1e6);
    isOver |= plan.flows().isEmpty() && schedule.done();
    if (now / 1e6 >= nextIntervalSeconds || (isOver && inFlightCount + pendingRetryCount == 0)) {
      reportInterval(now / 1e6);
      nextIntervalSeconds += plan.intervalSeconds();
    }
    if (isOver && inFlightCount + pendingRetryCount == 0) {
      clients.forEach(HttpClient::close);
      done.complete(statistics);
    } else {
      vertx.setTimer(TICK_MILLIS, id -> sendDue());
    }
  }

  private void reportInterval(double seconds) {
    long due = 0;
    long good = 0;
    long other = 0;
    org.HdrHistogram.Histogram all = statistics.get(0).interval.copy();
    for (FlowStatistics each : statistics) {
      due += each.due;
      good += each.good();
      other += each.latency.getTotalCount() - each.good();
      if (each != statistics.get(0)) {
        all.add(each.interval);
      }
    }
    progressListener.accept(
        new Progress(
            seconds,
            due,
            good,
            other,
            inFlightCount,
            all.getValueAtPercentile(50),
            all.getValueAtPercentile(99)));
    intervalListener.accept(statistics);
    statistics.forEach(each -> each.interval.reset());
  }

  /** One client that asks again whenever it has its answer. */
  private void runClosedLoopClient(Flow flow, int place, CustomerSelector customers) {
    if (isStopped || now() >= plan.seconds() * 1e6) {
      return;
    }
    Request r = flow.request();
    long now = now();
    begin(
        new ScheduledRequest(
            now, place, r, r.method(), r.path(), RequestSchedule.key(flow, customers.draw(random))),
        now,
        1,
        () -> vertx.runOnContext(v -> runClosedLoopClient(flow, place, customers)));
  }

  /** Begins one try of a request that was meant to begin at a time. */
  private void begin(ScheduledRequest due, long intended, int tried, Runnable ended) {
    FlowStatistics flowStatistics = statistics.get(due.flow());
    flowStatistics.due++;
    flowStatistics.retries += tried > 1 ? 1 : 0;
    if (inFlightCount >= plan.outstanding()) {
      flowStatistics.unsent++;
      ended.run();
      return;
    }
    if (now() - intended > plan.slackMicros()) {
      flowStatistics.late++;
    }
    inFlightCount++;
    new LoadAttempt(due, intended, tried, ended, flowStatistics).send();
  }

  private final class LoadAttempt {
    private final ScheduledRequest due;
    private final long intended;
    private final int tried;
    private final Runnable ended;
    private final FlowStatistics flowStatistics;
    private long sentAt;
    private HttpClientRequest request;
    private boolean isOver;

    LoadAttempt(
        ScheduledRequest due,
        long intended,
        int tried,
        Runnable ended,
        FlowStatistics flowStatistics) {
      this.due = due;
      this.intended = intended;
      this.tried = tried;
      this.ended = ended;
      this.flowStatistics = flowStatistics;
    }

    void send() {
      int target = requestCount++ % plan.targets().size();
      Address address = plan.targets().get(target);
      long leaveIn = intended + due.request().manners().giveUpMicros() - now();
      long timer = vertx.setTimer(Math.max(1, (leaveIn + 999) / 1_000), id -> giveUp());
      RequestOptions options =
          new RequestOptions()
              .setHost(address.host())
              .setPort(address.port())
              .setMethod(HttpMethod.valueOf(due.method()))
              .setURI(due.path());
      if (!due.key().isEmpty()) {
        options.putHeader("x-api-key", due.key());
      }
      options.putHeader(
          "x-envoy-expected-rq-timeout-ms", Long.toString(Math.max(1, leaveIn / 1_000)));
      clients
          .get(target)
          .request(options)
          .compose(
              made -> {
                request = made;
                sentAt = now();
                made.exceptionHandler(e -> {}); // Told by what is composed below.
                if (isOver) { // The client left while it waited for a connection.
                  made.reset();
                }
                return due.request().bodyBytes() == 0
                    ? made.send()
                    : made.send(Buffer.buffer(new byte[due.request().bodyBytes()]));
              })
          .compose(answer -> answer.body().map(body -> answer))
          .onComplete(
              answer -> {
                vertx.cancelTimer(timer);
                if (answer.succeeded()) {
                  String wait = answer.result().getHeader("retry-after");
                  complete(
                      answer.result().statusCode(),
                      wait != null && wait.matches("[0-9]{1,9}") ? Long.parseLong(wait) : 0);
                } else {
                  complete(0, 0);
                }
              });
    }

    private void giveUp() {
      if (isOver) {
        return;
      }
      isOver = true;
      inFlightCount--;
      flowStatistics.left(now() - intended);
      if (request != null) {
        request.reset();
      }
      retryOrFinish(0, 0);
    }

    private void complete(int status, long retryAfter) {
      if (isOver) {
        return;
      }
      isOver = true;
      inFlightCount--;
      long now = now();
      if (status == 0) {
        flowStatistics.failed(now - intended);
      } else {
        flowStatistics.answered(status, now - intended, now - sentAt);
      }
      retryOrFinish(status, retryAfter);
    }

    private void retryOrFinish(int status, long retryAfter) {
      long wait =
          isStopped ? -1 : due.request().manners().retryDelayMicros(status, retryAfter, tried);
      if (wait < 0) {
        ended.run();
        return;
      }
      pendingRetryCount++;
      long at = now() + wait;
      vertx.setTimer(
          Math.max(1, wait / 1_000),
          id -> {
            pendingRetryCount--;
            begin(due, at, tried + 1, ended);
          });
    }
  }
}
