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
 * Sends requests through a temporary gateway to a temporary endpoint, all in this process, before
 * the first client is accepted. Without it the first clients wait about 350 ms for classes to load.
 * Delays the start by its time limit at most; calls neither discovery, counter nor real endpoints.
 * Confined to one event loop.
 */
final class WarmUp implements PolicyRunner.GatewayConnections, BackendAttempt.Backends {
  private static final int REQUESTS = 200;
  private static final int AT_ONCE = 10;
  private static final long LIMIT_MILLIS = 3_000;
  private static final String KEY = "warm-up";
  private final Vertx vertx;
  private final GatewaySettings settings;
  private final Function<PolicyConfig, GatewayPolicy> maker;
  private int workerPort;
  private BackendPools pools;
  private PolicyRunner host;

  WarmUp(Vertx vertx, GatewaySettings settings, Function<PolicyConfig, GatewayPolicy> maker) {
    this.vertx = vertx;
    this.settings = settings;
    this.maker = maker;
  }

  /** Runs the warm-up; the future never fails. */
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
            Map.of(KEY, new GatewaySettings.ApiKey(KEY, KEY, 0, 1)),
            settings.routes(),
            settings.limits(),
            settings.rules(),
            settings.counter(),
            settings.discovery(),
            settings.peers(),
            settings.http(),
            settings.log(),
            settings.rateLimit());
    Timers timers = new Timers(vertx);
    pools = new BackendPools(vertx, own);
    AccessLog silent = new AccessLog(-1, false);
    host = new PolicyRunner(new MicroClock(), timers, this, 1, 1, silent);
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
                        .putHeader(LoadReportParser.HEADER, "TEXT cpu_utilization=0")
                        .end());
    HttpServer front =
        vertx.createHttpServer().requestHandler(new RequestHandler(own, host, silent)::handle);
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
              vertx.setTimer(LIMIT_MILLIS, id -> timers.close());
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
  public void addToCounter(AddToCounter action) {
    throw new IllegalStateException("the warm-up has no counter");
  }

  @Override
  public void sendPeerMessage(SendPeerMessage action) {
    // The warm-up has no peers.
  }

  @Override
  public void watchEndpoints() {
    // The warm-up has no endpoint discovery.
  }

  @Override
  public void fetchEndpoints() {
    // The warm-up has no endpoint discovery.
  }

  @Override
  public RequestOptions requestOptions(String endpointId) {
    return new RequestOptions().setHost("127.0.0.1").setPort(workerPort);
  }

  @Override
  public InFlightAttempt createAttempt(InFlightRequest request, int index, String endpointId) {
    return new BackendAttempt(host, request, index, endpointId, this);
  }

  @Override
  public void startHealthCheck(String endpointId) {
    throw new IllegalStateException("the warm-up has no health checks");
  }

  @Override
  public BackendPools backendPools() {
    return pools;
  }

  @Override
  public int maxBufferedResponseBytes() {
    return settings.http().maxBufferedResponseBytes();
  }
}
