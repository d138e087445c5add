package fawndock.benchmark;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Sends requests at random intended times, independently of earlier responses, and measures each
 * latency from the intended time. The number of requests in flight is limited; a request that is
 * due beyond the limit waits, and the wait is part of its latency. A flood sends more than the
 * target can serve, to measure its throughput. All state is confined to one event loop.
 */
final class OpenLoopHttpLoad {
  /** Result of a run; latencies of served requests, in microseconds from the intended start. */
  record LoadResult(Histogram latency, long served, long notServed, double seconds) {
    double perSecond() {
      return served / seconds;
    }
  }

  private static final long MAX_LATENCY_MICROS = 60_000_000;
  private final Vertx vertx;
  private final HttpClient client;
  private final RequestOptions target;
  private final int maxInFlight;
  private final boolean isFlood;
  private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, 3);
  private final CountDownLatch done = new CountDownLatch(1);
  private SplittableRandom random;
  private double requestsPerSecond;
  private long startNanos;
  private long endNanos;
  private double dueNanos;
  private int inFlight;
  private long served;
  private long notServed;
  private long lastResponseNanos;

  OpenLoopHttpLoad(Vertx vertx, int port, int connections, int maxInFlight, boolean isFlood) {
    this.vertx = vertx;
    this.maxInFlight = maxInFlight;
    this.isFlood = isFlood;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions().setTcpNoDelay(true),
            new PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(-1));
    this.target =
        new RequestOptions()
            .setHost("127.0.0.1")
            .setPort(port)
            .setURI("/work")
            .putHeader("x-api-key", "key");
  }

  /** Runs at a rate for a time. Blocks; must not be called on an event loop. */
  LoadResult run(double perSecond, double seconds, long seed) throws InterruptedException {
    vertx.runOnContext(
        v -> {
          random = new SplittableRandom(seed);
          requestsPerSecond = perSecond;
          startNanos = System.nanoTime();
          endNanos = startNanos + (long) (seconds * 1e9);
          dueNanos = startNanos;
          tick();
        });
    if (!done.await((long) seconds + 90, TimeUnit.SECONDS)) {
      throw new IllegalStateException("requests were never answered");
    }
    client.close();
    return new LoadResult(latency, served, notServed, (lastResponseNanos - startNanos) / 1e9);
  }

  private void tick() {
    long now = System.nanoTime();
    while (isDue(now)) {
      send((long) dueNanos);
      dueNanos -= Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e9;
    }
    if (now < endNanos) {
      vertx.setTimer(1, id -> tick());
    } else if (inFlight == 0) {
      done.countDown();
    } else {
      vertx.setTimer(5, id -> tick());
    }
  }

  /**
   * Returns whether a request can be sent now. In a flood, requests that are due but not sent at
   * the end are dropped, because only the throughput is measured.
   */
  private boolean isDue(long now) {
    return dueNanos <= now
        && dueNanos < endNanos
        && inFlight < maxInFlight
        && !(isFlood && now >= endNanos);
  }

  private void send(long intendedNanos) {
    inFlight++;
    client
        .request(target)
        .compose(request -> request.send())
        .compose(response -> response.body().map(body -> response.statusCode()))
        .onComplete(
            status -> {
              inFlight--;
              lastResponseNanos = System.nanoTime();
              if (status.succeeded() && status.result() == 200) {
                served++;
                latency.recordValue(
                    Math.min(MAX_LATENCY_MICROS, (lastResponseNanos - intendedNanos) / 1_000));
              } else {
                notServed++;
              }
              if (isDue(lastResponseNanos)) {
                send((long) dueNanos);
                dueNanos -= Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e9;
              }
            });
  }
}
