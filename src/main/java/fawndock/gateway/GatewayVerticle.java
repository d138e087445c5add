package fawndock.gateway;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.SendPeerMessage;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.HealthCheckCompleted;
import fawndock.policy.event.LoadReport;
import fawndock.runtime.InFlightAttempt;
import fawndock.runtime.InFlightRequest;
import fawndock.runtime.MicroClock;
import fawndock.runtime.PolicyRunner;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import fawndock.settings.GatewaySettings;
import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One gateway instance: the policy, the listener for clients, and the connections to backends,
 * counter, discovery server and peers. All of it runs on one event loop, except that {@link #drain}
 * may be called from any thread. A process runs one or more instances.
 */
public final class GatewayVerticle extends VerticleBase
    implements PolicyRunner.GatewayConnections, BackendAttempt.Backends {
  private static final int HEALTH_CHECK_TIMEOUT_MILLIS = 1_000;
  private static final Logger LOG = LoggerFactory.getLogger(GatewayVerticle.class);
  private final GatewaySettings settings;
  private final int instanceIndex;
  private final int listenPort;
  private final AtomicInteger openConnections;
  private final Function<PolicyConfig, GatewayPolicy> policyFactory;
  private HttpServerListener listener;
  private BackendPools backendPools;
  private Timers timers;
  private PolicyRunner policyRunner;
  private CounterClient counterClient;
  private PeerMessenger peerMessenger;
  private EndpointWatch endpointWatch;

  /**
   * Creates an instance that is not started yet.
   *
   * @param instanceIndex index of the instance in the fleet
   * @param listenPort the port from the settings, or the free port that the first instance bound
   * @param openConnections number of open client connections of all instances of the process
   * @param policyFactory creates the policy from its configuration
   */
  GatewayVerticle(
      GatewaySettings settings,
      int instanceIndex,
      int listenPort,
      AtomicInteger openConnections,
      Function<PolicyConfig, GatewayPolicy> policyFactory) {
    this.settings = settings;
    this.instanceIndex = instanceIndex;
    this.listenPort = listenPort;
    this.openConnections = openConnections;
    this.policyFactory = policyFactory;
  }

  @Override
  public Future<?> start() {
    MicroClock clock = new MicroClock();
    timers = new Timers(vertx);
    AccessLog accessLog = new AccessLog(instanceIndex, true);
    backendPools = new BackendPools(vertx, settings);
    policyRunner =
        new PolicyRunner(
            clock, timers, this, settings.limits().maxAttempts(), clock.nowMicros(), accessLog);
    policyRunner.setPolicy(
        policyFactory.apply(PolicyConfigFactory.forInstance(settings, instanceIndex)));
    counterClient =
        new CounterClient(vertx, context, settings.counter(), clock, timers, policyRunner::onEvent);
    peerMessenger =
        settings.peers().listen() == null
            ? null
            : new PeerMessenger(
                vertx, settings.peers(), instanceIndex, clock, policyRunner::onEvent);
    endpointWatch = new EndpointWatch(vertx, settings.discovery(), timers, policyRunner::onEvent);
    endpointWatch.start();
    listener =
        new HttpServerListener(
            vertx,
            settings,
            openConnections,
            new RequestHandler(settings, policyRunner, accessLog));
    Future<?> peersListening =
        peerMessenger == null ? Future.succeededFuture() : peerMessenger.start();
    // The discovery and counter connections are opened during the warm-up, so that the policy has
    // the state of both when the first client connects.
    return peersListening
        .compose(v -> new WarmUp(vertx, settings, policyFactory).run())
        .compose(v -> listener.listen(listenPort))
        .onSuccess(
            port ->
                LOG.info(
                    "gateway listening: instance={} fleet_size={} address={}:{}",
                    instanceIndex,
                    settings.fleetSize(),
                    settings.listen().host(),
                    port));
  }

  int port() {
    return listener.port();
  }

  /**
   * Stops accepting connections. The future completes when all requests in flight have their
   * responses, or after the configured drain timeout.
   */
  Future<Void> drain() {
    Promise<Void> drained = Promise.promise();
    context.runOnContext(
        v -> {
          long timeoutMillis = Math.max(1, settings.http().drainTimeoutMicros() / 1_000);
          LOG.info(
              "gateway draining: instance={} in_flight={}",
              instanceIndex,
              policyRunner.openRequestCount());
          Future<Void> closing = listener.shutdown(timeoutMillis);
          policyRunner.whenIdle(() -> closing.onComplete(closed -> drained.tryComplete()));
          vertx.setTimer(timeoutMillis, id -> drained.tryComplete());
        });
    return drained.future();
  }

  @Override
  public Future<?> stop() {
    counterClient.close();
    endpointWatch.close();
    if (peerMessenger != null) {
      peerMessenger.close();
    }
    timers.close();
    return backendPools.close();
  }

  @Override
  public void addToCounter(AddToCounter action) {
    counterClient.add(action);
  }

  @Override
  public void sendPeerMessage(SendPeerMessage action) {
    if (peerMessenger != null) {
      peerMessenger.send(action);
    }
  }

  @Override
  public void watchEndpoints() {
    endpointWatch.watch();
  }

  @Override
  public void fetchEndpoints() {
    endpointWatch.watch();
  }

  @Override
  public RequestOptions requestOptions(String endpointId) {
    Address address = endpointWatch.address(endpointId);
    return address == null
        ? null
        : new RequestOptions().setHost(address.host()).setPort(address.port());
  }

  @Override
  public boolean isAvailable(String endpointId) {
    return endpointWatch.isAvailable(endpointId);
  }

  @Override
  public BackendPools backendPools() {
    return backendPools;
  }

  @Override
  public int maxBufferedResponseBytes() {
    return settings.http().maxBufferedResponseBytes();
  }

  @Override
  public InFlightAttempt createAttempt(InFlightRequest request, int index, String endpointId) {
    return new BackendAttempt(policyRunner, request, index, endpointId, this);
  }

  @Override
  public void startHealthCheck(String endpointId) {
    long startedAtMicros = policyRunner.clock().nowMicros();
    RequestOptions options = requestOptions(endpointId);
    if (options == null) {
      policyRunner.onEvent(
          new HealthCheckCompleted(endpointId, 0, CallResult.NOT_SENT, LoadReport.NONE));
      return;
    }
    options.setURI("/healthz").setTimeout(HEALTH_CHECK_TIMEOUT_MILLIS);
    backendPools
        .request(options)
        .compose(request -> request.send())
        .onComplete(response -> onHealthCheckResponse(endpointId, startedAtMicros, response));
  }

  private void onHealthCheckResponse(
      String endpointId, long startedAtMicros, AsyncResult<HttpClientResponse> response) {
    long latencyMicros = policyRunner.clock().nowMicros() - startedAtMicros;
    policyRunner.onEvent(
        new HealthCheckCompleted(
            endpointId,
            latencyMicros,
            response.failed()
                ? CallResult.TIMEOUT
                : CallResults.ofStatus(response.result().statusCode()),
            response.failed()
                ? LoadReport.NONE
                : LoadReportParser.parse(response.result().getHeader(LoadReportParser.HEADER))
                    .load()));
  }
}
