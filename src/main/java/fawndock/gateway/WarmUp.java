package fawndock.gateway;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.SendPeerMessage;
import fawndock.policy.config.CounterConfig;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.runtime.InFlightAttempt;
import fawndock.runtime.InFlightRequest;
import fawndock.runtime.MicroClock;
import fawndock.runtime.PolicyRunner;
import fawndock.runtime.Timers;
import fawndock.runtime.WarmUpProgress;
import fawndock.settings.GatewaySettings;
import io.vertx.core.Future;
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
final class WarmUp implements PolicyRunner.GatewayConnections, WorkerAttempt.Ways {
  private static final int REQUESTS = 200;
  private static final int AT_ONCE = 10;
  private static final long LIMIT_MILLIS = 3_000;
  private static final String KEY = "warm-up";
  private final Vertx vertx;
  private final GatewaySettings settings;
  private final Function<PolicyConfig, GatewayPolicy> maker;
  private int workerPort;
  private WorkerPools pools;
  private PolicyRunner host;

  WarmUp(Vertx vertx, GatewaySettings settings, Function<PolicyConfig, GatewayPolicy> maker) {
    this.vertx = vertx;
    this.settings = settings;
    this.maker = maker;
  }

  /** Never fails: a warm-up that does not work out is no reason not to start. */
  Future<Void> run() {
    GatewaySettings own =
        new GatewaySettings(
            settings.listen(),
            1,
            0,
            1,
            1,
            settings.zone(),
            settings.classes(),
            settings.plans(),
            Map.of(KEY, new GatewaySettings.Key(KEY, KEY, 0, 1)),
            settings.routes(),
            settings.limits(),
            settings.rules(),
            settings.counter(),
            settings.roster(),
            settings.peers(),
            settings.http(),
            settings.log(),
            settings.rateLimit());
    Timers alarms = new Timers(vertx);
    pools = new WorkerPools(vertx, own);
    AnswerLog silent = new AnswerLog(-1, false);
    host = new PolicyRunner(new MicroClock(), alarms, this, 1, 1, silent);
    host.setPolicy(
        maker.apply(
            new PolicyConfig(
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
                new CounterConfig(false, 50_000, false))));
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
    WarmUpProgress progress = new WarmUpProgress(vertx, REQUESTS, LIMIT_MILLIS);
    worker
        .listen(0, "127.0.0.1")
        .compose(
            w -> {
              workerPort = w.actualPort();
              host.onEvent(
                  new EndpointUpdate(
                      EndpointUpdateKind.SNAPSHOT,
                      List.of(new Endpoint(KEY, own.zone(), 0, EndpointState.RUNNING, 1, 0))));
              return front.listen(0, "127.0.0.1");
            })
        .onSuccess(f -> send(client, f.actualPort(), REQUESTS, progress))
        .onFailure(e -> progress.complete());
    return progress
        .completion()
        .onComplete(
            v -> {
              client.close();
              front.close();
              worker.close();
              pools.close();
              vertx.setTimer(LIMIT_MILLIS, id -> alarms.close());
            });
  }

  private void send(HttpClient client, int port, int left, WarmUpProgress progress) {
    if (left <= 0 || progress.isComplete()) {
      progress.complete();
      return;
    }
    GatewaySettings.Route route = settings.routes().get(0);
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
    Future.join(List.of(all)).onComplete(v -> send(client, port, left - AT_ONCE, progress));
  }

  @Override
  public void addToCounter(AddToCounter count) {
    throw new IllegalStateException("there is no counter here");
  }

  @Override
  public void sendPeerMessage(SendPeerMessage tell) {
    // There is nobody to tell.
  }

  @Override
  public void watchEndpoints() {
    // There is no roster here.
  }

  @Override
  public void fetchEndpoints() {
    // There is no roster here.
  }

  @Override
  public RequestOptions target(String server) {
    return new RequestOptions().setHost("127.0.0.1").setPort(workerPort);
  }

  @Override
  public InFlightAttempt createAttempt(InFlightRequest request, int number, String server) {
    return new WorkerAttempt(host, request, number, server, this);
  }

  @Override
  public void startHealthCheck(String server) {
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
