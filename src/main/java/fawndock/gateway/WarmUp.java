package fawndock.gateway;

import fawndock.Gatekeeper;
import fawndock.Gatekeeper.Availability;
import fawndock.Gatekeeper.Count;
import fawndock.Gatekeeper.Counter;
import fawndock.Gatekeeper.Listing;
import fawndock.Gatekeeper.Server;
import fawndock.Gatekeeper.Servers;
import fawndock.Gatekeeper.Settings;
import fawndock.Gatekeeper.Tell;
import fawndock.host.Alarms;
import fawndock.host.GatekeeperHost;
import fawndock.host.MicroClock;
import fawndock.host.OpenAttempt;
import fawndock.host.OpenRequest;
import fawndock.settings.DaemonSettings;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Sends requests of its own through a throw-away gatekeeper to a throw-away worker, all in this
 * process, before the first client is let in. Guards against the first clients waiting for classes
 * to load while their time runs out: about 350 ms was seen. May delay a start by its time limit; it
 * touches neither roster, counter nor real workers.
 */
final class WarmUp implements GatekeeperHost.Links, WorkerAttempt.Ways {
  private static final int REQUESTS = 200;
  private static final int AT_ONCE = 10;
  private static final long LIMIT_MILLIS = 3_000;
  private static final String KEY = "warm-up";
  private final Vertx vertx;
  private final DaemonSettings settings;
  private final Function<Settings, Gatekeeper> maker;
  private int workerPort;
  private WorkerPools pools;
  private GatekeeperHost host;

  WarmUp(Vertx vertx, DaemonSettings settings, Function<Settings, Gatekeeper> maker) {
    this.vertx = vertx;
    this.settings = settings;
    this.maker = maker;
  }

  /** Never fails: a warm-up that does not work out is no reason not to start. */
  Future<Void> run() {
    DaemonSettings own =
        new DaemonSettings(
            settings.listen(),
            1,
            0,
            1,
            1,
            settings.zone(),
            settings.classes(),
            settings.plans(),
            Map.of(KEY, new DaemonSettings.Key(KEY, KEY, 0, 1)),
            settings.routes(),
            settings.limits(),
            settings.rules(),
            settings.counter(),
            settings.roster(),
            settings.peers(),
            settings.http(),
            settings.log(),
            settings.rateLimit());
    Alarms alarms = new Alarms(vertx);
    pools = new WorkerPools(vertx, own);
    AnswerLog silent = new AnswerLog(-1, false);
    host = new GatekeeperHost(new MicroClock(), alarms, this, 1, 1, silent);
    host.decideBy(
        maker.apply(
            new Settings(
                0,
                1,
                1,
                5_000,
                own.zone(),
                false,
                own.classes(),
                own.plans(),
                own.limits(),
                own.rules(),
                new Counter(false, 50_000, false))));
    HttpServer worker =
        vertx
            .createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(true))
            .requestHandler(
                request ->
                    request
                        .response()
                        .putHeader(LoadReport.HEADER, "TEXT cpu_utilization=0")
                        .end());
    HttpServer front =
        vertx.createHttpServer().requestHandler(new Front(own, host, silent)::handle);
    HttpClient client = vertx.createHttpClient();
    Promise<Void> done = Promise.promise();
    vertx.setTimer(LIMIT_MILLIS, id -> done.tryComplete());
    worker
        .listen(0, "127.0.0.1")
        .compose(
            w -> {
              workerPort = w.actualPort();
              host.tell(
                  new Servers(
                      Listing.COMPLETE,
                      List.of(new Server(KEY, own.zone(), 0, Availability.RUNNING, 1, 0))));
              return front.listen(0, "127.0.0.1");
            })
        .onSuccess(f -> send(client, f.actualPort(), REQUESTS, done))
        .onFailure(e -> done.tryComplete());
    return done.future()
        .onComplete(
            v -> {
              client.close();
              front.close();
              worker.close();
              pools.close();
              vertx.setTimer(LIMIT_MILLIS, id -> alarms.close());
            });
  }

  private void send(HttpClient client, int port, int left, Promise<Void> done) {
    if (left <= 0 || done.future().isComplete()) {
      done.tryComplete();
      return;
    }
    DaemonSettings.Route route = settings.routes().get(0);
    RequestOptions options =
        new RequestOptions()
            .setHost("127.0.0.1")
            .setPort(port)
            .setMethod(HttpMethod.valueOf(route.method().equals("*") ? "GET" : route.method()))
            .setURI(route.prefix())
            .putHeader(settings.http().keyHeader(), left > AT_ONCE ? KEY : "nobody")
            .putHeader("idempotency-key", "\"warm-up\"");
    Future<?>[] all = new Future<?>[AT_ONCE];
    for (int i = 0; i < AT_ONCE; i++) {
      all[i] =
          client
              .request(options)
              .compose(r -> r.send())
              .compose(answer -> answer.body())
              .timeout(LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    }
    Future.join(List.of(all)).onComplete(v -> send(client, port, left - AT_ONCE, done));
  }

  @Override
  public void count(Count count) {
    throw new IllegalStateException("there is no counter here");
  }

  @Override
  public void tell(Tell tell) {
    // There is nobody to tell.
  }

  @Override
  public void watch() {
    // There is no roster here.
  }

  @Override
  public void fetch() {
    // There is no roster here.
  }

  @Override
  public RequestOptions target(String server) {
    return new RequestOptions().setHost("127.0.0.1").setPort(workerPort);
  }

  @Override
  public OpenAttempt attempt(OpenRequest request, int number, String server) {
    return new WorkerAttempt(host, request, number, server, this);
  }

  @Override
  public void probe(String server) {
    throw new IllegalStateException("nothing is probed here");
  }

  @Override
  public WorkerPools workers() {
    return pools;
  }

  @Override
  public int answerLimit() {
    return settings.http().answerLimit();
  }
}
