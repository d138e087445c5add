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
 * Sends requests at their intended times, independently of the outcome of earlier requests. At most
 * the plan's number of requests is in flight; requests that are due beyond it are counted as not
 * sent, which makes the run unusable. All state is confined to one event loop; {@link #run} and
 * {@link #stop} may be called from any thread.
 */
public final class LoadGenerator {
  /** Progress of a run, reported at the end of each interval and of the run. */
  public record Progress(
      double seconds,
      long due,
      long good,
      long other,
      int inFlight,
      long p50Micros,
      long p99Micros) {}

  private static final int HTTP2_STREAMS = 1_000;
  private static final int TICK_MILLIS = 1;
  private static final int WARM_UP_REQUESTS = 500;
  static final long WARM_UP_TIMEOUT_MILLIS = 5_000;
  private final Vertx vertx;
  private final LoadPlan plan;
  private final RequestSchedule schedule;
  private final List<FlowStatistics> statistics = new ArrayList<>();
  private final List<HttpClient> clients = new ArrayList<>();
  private final Consumer<Progress> progressListener;
  private final Consumer<List<FlowStatistics>> intervalListener;
  private final CompletableFuture<List<FlowStatistics>> done = new CompletableFuture<>();
  private final SplittableRandom closedLoopRandom;
  private long startedAtNanos;
  private double nextIntervalSeconds;
  private int requestCount;
  private int inFlightCount;
  private int pendingRetryCount;
  private boolean isStopped;

  /** Whether the warm-up has ended; from then on the HTTP clients may be closed at any time. */
  private boolean isWarmUpOver;

  /**
   * Creates a generator without starting it.
   *
   * @param traces contents of the plan's traces, in the same order
   * @param progress receives the progress at each interval
   * @param interval receives the statistics at each interval, before their interval data is cleared
   */
  public LoadGenerator(
      Vertx vertx,
      LoadPlan plan,
      List<RequestTrace.ParsedTrace> traces,
      Consumer<Progress> progress,
      Consumer<List<FlowStatistics>> interval) {
    this.vertx = vertx;
    this.plan = plan;
    this.progressListener = progress;
    this.intervalListener = interval;
    schedule = new RequestSchedule(plan, traces);
    closedLoopRandom = new SplittableRandom(plan.seed());
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
                  .setMaxWaitQueueSize(-1))); // Bounded by maxOutstanding.
    }
  }

  /**
   * Starts the run. The future completes when the last request has ended, with statistics for each
   * flow and trace of the plan.
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
                        new CustomerSelector(flow.customerCount(), flow.skew());
                    for (int client = 0; client < flow.closedLoopClients(); client++) {
                      runClosedLoopClient(flow, i, customers);
                    }
                  }
                  sendDue();
                }));
    return done;
  }

  /**
   * Sends requests to a local server first, so that the generator's own cold start of half a second
   * does not enter the statistics. The first request of the run is delayed by that time.
   */
  private void warmUp(Runnable onDone) {
    Runnable startOnce =
        () -> {
          if (!isWarmUpOver) {
            isWarmUpOver = true;
            onDone.run();
          }
        };
    HttpServer server =
        vertx.createHttpServer().requestHandler(request -> request.response().end());
    vertx.setTimer(WARM_UP_TIMEOUT_MILLIS, id -> startOnce.run());
    server
        .listen(0, "127.0.0.1")
        .onSuccess(
            s ->
                sendWarmUpRequest(
                    s.actualPort(),
                    WARM_UP_REQUESTS,
                    () -> {
                      server.close();
                      startOnce.run();
                    }))
        .onFailure(e -> startOnce.run());
  }

  private void sendWarmUpRequest(int port, int remaining, Runnable onDone) {
    if (remaining == 0 || isWarmUpOver) {
      onDone.run();
      return;
    }
    clients
        .get(0)
        .request(new RequestOptions().setHost("127.0.0.1").setPort(port).setURI("/"))
        .compose(request -> request.send())
        .compose(response -> response.body())
        .onComplete(response -> sendWarmUpRequest(port, remaining - 1, onDone));
  }

  /** Stops sending new requests; the requests in flight end as usual. */
  public void stop() {
    vertx.runOnContext(v -> isStopped = true);
  }

  private long nowMicros() {
    return (System.nanoTime() - startedAtNanos) / 1_000;
  }

  private void sendDue() {
    long nowMicros = nowMicros();
    for (ScheduledRequest scheduled = isStopped ? null : schedule.next(nowMicros);
        scheduled != null;
        scheduled = schedule.next(nowMicros)) {
      startAttempt(scheduled, scheduled.atMicros(), 1, () -> {});
    }
    boolean isEnded = isStopped || (schedule.isExhausted() && nowMicros >= plan.seconds() * 1e6);
    isEnded |= plan.flows().isEmpty() && schedule.isExhausted();
    if (nowMicros / 1e6 >= nextIntervalSeconds
        || (isEnded && inFlightCount + pendingRetryCount == 0)) {
      reportInterval(nowMicros / 1e6);
      nextIntervalSeconds += plan.intervalSeconds();
    }
    if (isEnded && inFlightCount + pendingRetryCount == 0) {
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
    org.HdrHistogram.Histogram intervalLatency = statistics.get(0).intervalLatency.copy();
    for (FlowStatistics flowStatistics : statistics) {
      due += flowStatistics.due;
      good += flowStatistics.good();
      other += flowStatistics.latency.getTotalCount() - flowStatistics.good();
      if (flowStatistics != statistics.get(0)) {
        intervalLatency.add(flowStatistics.intervalLatency);
      }
    }
    progressListener.accept(
        new Progress(
            seconds,
            due,
            good,
            other,
            inFlightCount,
            intervalLatency.getValueAtPercentile(50),
            intervalLatency.getValueAtPercentile(99)));
    intervalListener.accept(statistics);
    statistics.forEach(flowStatistics -> flowStatistics.intervalLatency.reset());
  }

  /** Runs one client that sends its next request when the previous one has ended. */
  private void runClosedLoopClient(Flow flow, int flowIndex, CustomerSelector customers) {
    if (isStopped || nowMicros() >= plan.seconds() * 1e6) {
      return;
    }
    Request template = flow.request();
    long nowMicros = nowMicros();
    startAttempt(
        new ScheduledRequest(
            nowMicros,
            flowIndex,
            template,
            template.method(),
            template.path(),
            RequestSchedule.key(flow, customers.draw(closedLoopRandom))),
        nowMicros,
        1,
        () -> vertx.runOnContext(v -> runClosedLoopClient(flow, flowIndex, customers)));
  }

  /** Starts one attempt of a request at or after its intended start. */
  private void startAttempt(
      ScheduledRequest scheduled, long intendedMicros, int attemptNumber, Runnable onEnd) {
    FlowStatistics flowStatistics = statistics.get(scheduled.flowIndex());
    flowStatistics.due++;
    flowStatistics.retries += attemptNumber > 1 ? 1 : 0;
    if (inFlightCount >= plan.maxOutstanding()) {
      flowStatistics.notSent++;
      onEnd.run();
      return;
    }
    if (nowMicros() - intendedMicros > plan.slackMicros()) {
      flowStatistics.sentLate++;
    }
    inFlightCount++;
    new LoadAttempt(scheduled, intendedMicros, attemptNumber, onEnd, flowStatistics).send();
  }

  private final class LoadAttempt {
    private final ScheduledRequest scheduled;
    private final long intendedMicros;
    private final int attemptNumber;
    private final Runnable onEnd;
    private final FlowStatistics flowStatistics;
    private long sentAtMicros;
    private HttpClientRequest request;
    private boolean isEnded;

    LoadAttempt(
        ScheduledRequest scheduled,
        long intendedMicros,
        int attemptNumber,
        Runnable onEnd,
        FlowStatistics flowStatistics) {
      this.scheduled = scheduled;
      this.intendedMicros = intendedMicros;
      this.attemptNumber = attemptNumber;
      this.onEnd = onEnd;
      this.flowStatistics = flowStatistics;
    }

    void send() {
      int target = requestCount++ % plan.targets().size();
      Address address = plan.targets().get(target);
      long remainingMicros =
          intendedMicros + scheduled.request().clientBehavior().giveUpMicros() - nowMicros();
      long timer = vertx.setTimer(Math.max(1, (remainingMicros + 999) / 1_000), id -> giveUp());
      RequestOptions options =
          new RequestOptions()
              .setHost(address.host())
              .setPort(address.port())
              .setMethod(HttpMethod.valueOf(scheduled.method()))
              .setURI(scheduled.path());
      if (!scheduled.key().isEmpty()) {
        options.putHeader("x-api-key", scheduled.key());
      }
      options.putHeader(
          "x-envoy-expected-rq-timeout-ms", Long.toString(Math.max(1, remainingMicros / 1_000)));
      clients
          .get(target)
          .request(options)
          .compose(
              createdRequest -> {
                request = createdRequest;
                sentAtMicros = nowMicros();
                createdRequest.exceptionHandler(
                    e -> {}); // The handlers composed below report the error.
                if (isEnded) { // The client gave up while it waited for a connection.
                  createdRequest.reset();
                }
                return scheduled.request().bodyBytes() == 0
                    ? createdRequest.send()
                    : createdRequest.send(Buffer.buffer(new byte[scheduled.request().bodyBytes()]));
              })
          .compose(response -> response.body().map(body -> response))
          .onComplete(
              response -> {
                vertx.cancelTimer(timer);
                if (response.succeeded()) {
                  String retryAfterHeader = response.result().getHeader("retry-after");
                  complete(
                      response.result().statusCode(),
                      retryAfterHeader != null && retryAfterHeader.matches("[0-9]{1,9}")
                          ? Long.parseLong(retryAfterHeader)
                          : 0);
                } else {
                  complete(0, 0);
                }
              });
    }

    private void giveUp() {
      if (isEnded) {
        return;
      }
      isEnded = true;
      inFlightCount--;
      flowStatistics.recordAbandoned(nowMicros() - intendedMicros);
      if (request != null) {
        request.reset();
      }
      retryOrFinish(0, 0);
    }

    private void complete(int status, long retryAfterSeconds) {
      if (isEnded) {
        return;
      }
      isEnded = true;
      inFlightCount--;
      long nowMicros = nowMicros();
      if (status == 0) {
        flowStatistics.recordFailure(nowMicros - intendedMicros);
      } else {
        flowStatistics.recordResponse(status, nowMicros - intendedMicros, nowMicros - sentAtMicros);
      }
      retryOrFinish(status, retryAfterSeconds);
    }

    private void retryOrFinish(int status, long retryAfterSeconds) {
      long delayMicros =
          isStopped
              ? -1
              : scheduled
                  .request()
                  .clientBehavior()
                  .retryDelayMicros(status, retryAfterSeconds, attemptNumber);
      if (delayMicros < 0) {
        onEnd.run();
        return;
      }
      pendingRetryCount++;
      long retryMicros = nowMicros() + delayMicros;
      vertx.setTimer(
          Math.max(1, delayMicros / 1_000),
          id -> {
            pendingRetryCount--;
            startAttempt(scheduled, retryMicros, attemptNumber + 1, onEnd);
          });
    }
  }
}
