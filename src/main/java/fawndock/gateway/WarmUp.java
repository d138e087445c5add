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
 * Sends requests through a temporary gateway to a temporary endpoint in the same process before the
 * listener accepts clients. Without the warm-up the first clients wait about 350 ms for class
 * loading. It delays the start by at most its timeout and uses no discovery server, counter or real
 * endpoint. It is confined to one event loop.
 */
final class WarmUp implements PolicyRunner.GatewayConnections, BackendAttempt.Backends {
  private static final int REQUEST_COUNT = 200;
  private static final int BATCH_SIZE = 10;
  private static final long TIMEOUT_MILLIS = 3_000;
  private static final String WARM_UP_NAME = "warm-up";
  private final Vertx vertx;
  private final GatewaySettings settings;
  private final Function<PolicyConfig, GatewayPolicy> policyFactory;
  private int backendPort;
  private BackendPools backendPools;
  private PolicyRunner policyRunner;

  WarmUp(
      Vertx vertx, GatewaySettings settings, Function<PolicyConfig, GatewayPolicy> policyFactory) {
    this.vertx = vertx;
    this.settings = settings;
    this.policyFactory = policyFactory;
  }

  /** Runs the warm-up. The future never fails. */
  Future<Void> run() {
    GatewaySettings warmUpSettings =
        new GatewaySettings(
            settings.listen(),
            1,
            0,
            1,
            1,
            settings.zone(),
            settings.classes(),
            settings.plans(),
            Map.of(WARM_UP_NAME, new GatewaySettings.ApiKey(WARM_UP_NAME, WARM_UP_NAME, 0, 1)),
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
    backendPools = new BackendPools(vertx, warmUpSettings);
    AccessLog disabledAccessLog = new AccessLog(-1, false);
    policyRunner = new PolicyRunner(new MicroClock(), timers, this, 1, 1, disabledAccessLog);
    policyRunner.setPolicy(
        policyFactory.apply(
            new PolicyConfig(
                0,
                1,
                1,
                5_000,
                warmUpSettings.zone(),
                false,
                warmUpSettings.classes(),
                warmUpSettings.plans(),
                warmUpSettings.limits(),
                warmUpSettings.rules(),
                new CounterConfig(false, 50_000, false))));
    HttpServer backend =
        vertx
            .createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(true))
            .requestHandler(
                request ->
                    request
                        .response()
                        .putHeader(LoadReportParser.HEADER, "TEXT cpu_utilization=0")
                        .end());
    HttpServer gateway =
        vertx
            .createHttpServer()
            .requestHandler(
                new RequestHandler(warmUpSettings, policyRunner, disabledAccessLog)::handle);
    HttpClient client = vertx.createHttpClient();
    WarmUpProgress progress = new WarmUpProgress(vertx, REQUEST_COUNT, TIMEOUT_MILLIS);
    backend
        .listen(0, "127.0.0.1")
        .compose(
            server -> {
              backendPort = server.actualPort();
              policyRunner.onEvent(
                  new EndpointUpdate(
                      EndpointUpdateKind.SNAPSHOT,
                      List.of(
                          new Endpoint(
                              WARM_UP_NAME,
                              warmUpSettings.zone(),
                              0,
                              EndpointState.RUNNING,
                              1,
                              0))));
              return gateway.listen(0, "127.0.0.1");
            })
        .onSuccess(server -> send(client, server.actualPort(), REQUEST_COUNT, progress))
        .onFailure(e -> progress.complete());
    return progress
        .completion()
        .onComplete(
            v -> {
              client.close();
              gateway.close();
              backend.close();
              backendPools.close();
              vertx.setTimer(TIMEOUT_MILLIS, id -> timers.close());
            });
  }

  private void send(HttpClient client, int port, int remaining, WarmUpProgress progress) {
    if (remaining <= 0 || progress.isComplete()) {
      progress.complete();
      return;
    }
    GatewaySettings.Route route = settings.routes().get(0);
    // The last batch has an unknown API key and receives error responses.
    RequestOptions options =
        new RequestOptions()
            .setHost("127.0.0.1")
            .setPort(port)
            .setMethod(HttpMethod.valueOf(route.method().equals("*") ? "GET" : route.method()))
            .setURI(route.prefix())
            .putHeader(
                settings.http().keyHeader(), remaining > BATCH_SIZE ? WARM_UP_NAME : "nobody")
            .putHeader("idempotency-key", "\"warm-up\"");
    Future<?>[] responses = new Future<?>[BATCH_SIZE];
    for (int i = 0; i < BATCH_SIZE; i++) {
      responses[i] =
          client
              .request(options)
              .compose(request -> request.send())
              .compose(response -> response.body())
              .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
    Future.join(List.of(responses))
        .onComplete(v -> send(client, port, remaining - BATCH_SIZE, progress));
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
    return new RequestOptions().setHost("127.0.0.1").setPort(backendPort);
  }

  @Override
  public boolean isAvailable(String endpointId) {
    return true;
  }

  @Override
  public InFlightAttempt createAttempt(InFlightRequest request, int index, String endpointId) {
    return new BackendAttempt(policyRunner, request, index, endpointId, this);
  }

  @Override
  public void startHealthCheck(String endpointId) {
    throw new IllegalStateException("the warm-up has no health checks");
  }

  @Override
  public BackendPools backendPools() {
    return backendPools;
  }

  @Override
  public int maxBufferedResponseBytes() {
    return settings.http().maxBufferedResponseBytes();
  }
}
