package fawndock.gateway;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.SendPeerMessage;
import fawndock.policy.config.CounterConfig;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.HealthCheckCompleted;
import fawndock.runtime.InFlightAttempt;
import fawndock.runtime.InFlightRequest;
import fawndock.runtime.MicroClock;
import fawndock.runtime.PolicyRunner;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import fawndock.settings.GatewaySettings;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.Http2Settings;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One gatekeeper with its sockets, on one event loop; a process runs one or several. */
public final class GatewayVerticle extends VerticleBase
    implements PolicyRunner.GatewayConnections, BackendAttempt.Backends {
  /**
   * How often a host looks at its gatekeeper's timers: the least gap between two batches of events.
   */
  private static final long TIMER_RESOLUTION_MICROS = 5_000;

  private static final Logger LOG = LoggerFactory.getLogger(GatewayVerticle.class);
  private final GatewaySettings settings;
  private final int instanceIndex;
  private final int port;
  private final AtomicInteger openConnections;
  private final Function<PolicyConfig, GatewayPolicy> policyFactory;
  private HttpServer server;
  private BackendPools backendPools;
  private Timers timers;
  private PolicyRunner policyRunner;
  private CounterClient counterClient;
  private PeerMessenger peerMessenger;
  private EndpointWatch endpointWatch;

  /**
   * A node that is not started yet.
   *
   * @param me its number in the fleet
   * @param port where it listens: that of the settings, or the free one that the first node got
   * @param connections the connections that the process has open, all nodes together
   * @param maker makes the decisions from the settings
   */
  GatewayVerticle(
      GatewaySettings settings,
      int me,
      int port,
      AtomicInteger connections,
      Function<PolicyConfig, GatewayPolicy> maker) {
    this.settings = settings;
    this.instanceIndex = me;
    this.port = port;
    this.openConnections = connections;
    this.policyFactory = maker;
  }

  @Override
  public Future<?> start() {
    MicroClock clock = new MicroClock();
    timers = new Timers(vertx);
    AccessLog answerLog = new AccessLog(instanceIndex, true);
    backendPools = new BackendPools(vertx, settings);
    policyRunner =
        new PolicyRunner(
            clock, timers, this, settings.limits().maxAttempts(), clock.now(), answerLog);
    policyRunner.setPolicy(
        policyFactory.apply(
            new PolicyConfig(
                instanceIndex,
                settings.fleetSize(),
                settings.seed() + instanceIndex,
                TIMER_RESOLUTION_MICROS,
                settings.zone(),
                settings.discovery().mustWatchEndpoints(),
                settings.classes(),
                settings.plans(),
                settings.limits(),
                settings.rules(),
                new CounterConfig(
                    !settings.counter().isAbsent(),
                    settings.counter().timeoutMicros(),
                    settings.counter().settlesUnits()))));
    counterClient =
        new CounterClient(vertx, context, settings.counter(), clock, timers, policyRunner::onEvent);
    peerMessenger =
        settings.peers().listen() == null
            ? null
            : new PeerMessenger(
                vertx, settings.peers(), instanceIndex, clock, policyRunner::onEvent);
    endpointWatch = new EndpointWatch(vertx, settings.discovery(), timers, policyRunner::onEvent);
    endpointWatch.start();
    HttpServerListener front = new HttpServerListener(settings, policyRunner, answerLog);
    long longest =
        settings.classes().stream().mapToLong(c -> c.deadlineMicros()).max().orElse(0) / 1_000_000;
    server =
        vertx
            .createHttpServer(
                new HttpServerOptions()
                    .setHttp2ClearTextEnabled(true)
                    .setTcpNoDelay(true)
                    .setHandle100ContinueAutomatically(true)
                    .setIdleTimeout((int) Math.max(120, 2 * longest))
                    .setInitialSettings(new Http2Settings().setMaxConcurrentStreams(1_000))
                    .setHttp2RstFloodMaxRstFramePerWindow(20_000)
                    .setHttp2RstFloodWindowDuration(60)
                    .setHttp2RstFloodWindowDurationTimeUnit(TimeUnit.SECONDS))
            .connectionHandler(
                connection -> {
                  if (openConnections.incrementAndGet() > settings.http().maxClientConnections()) {
                    connection.close();
                  }
                  connection.closeHandler(closed -> openConnections.decrementAndGet());
                })
            .requestHandler(front::handle);
    Future<?> heard = peerMessenger == null ? Future.succeededFuture() : peerMessenger.start();
    // Roster and counter connect while it warms up: the first client then meets a gatekeeper that
    // knows both.
    return heard
        .compose(any -> new WarmUp(vertx, settings, policyFactory).run())
        .compose(any -> server.listen(port, settings.listen().host()))
        .onSuccess(
            s ->
                LOG.info(
                    "gatekeeper {} of {} listens on {}:{}",
                    instanceIndex,
                    settings.fleetSize(),
                    settings.listen().host(),
                    s.actualPort()));
  }

  int port() {
    return server.actualPort();
  }

  /**
   * No new connections; what is open gets its answer; then nothing is left. Completes within the
   * stop time.
   */
  Future<Void> drain() {
    Promise<Void> drained = Promise.promise();
    context.runOnContext(
        v -> {
          long millis = Math.max(1, settings.http().drainTimeoutMicros() / 1_000);
          LOG.info(
              "gatekeeper {} stops with {} requests open", instanceIndex, policyRunner.openCount());
          Future<Void> closing = server.shutdown(millis, TimeUnit.MILLISECONDS);
          policyRunner.whenIdle(() -> closing.onComplete(closed -> drained.tryComplete()));
          vertx.setTimer(millis, id -> drained.tryComplete());
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
  public void addToCounter(AddToCounter count) {
    counterClient.add(count);
  }

  @Override
  public void sendPeerMessage(SendPeerMessage tell) {
    if (peerMessenger != null) {
      peerMessenger.send(tell);
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
  public RequestOptions requestOptions(String id) {
    Address address = endpointWatch.address(id);
    return address == null
        ? null
        : new RequestOptions().setHost(address.host()).setPort(address.port());
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
  public InFlightAttempt createAttempt(InFlightRequest request, int number, String server) {
    return new BackendAttempt(policyRunner, request, number, server, this);
  }

  @Override
  public void startHealthCheck(String server) {
    long startedAt = policyRunner.clock().now();
    RequestOptions target = requestOptions(server);
    if (target == null) {
      policyRunner.onEvent(new HealthCheckCompleted(server, 0, CallResult.NOT_SENT, Map.of()));
      return;
    }
    target.setURI("/healthz").setTimeout(1_000);
    backendPools
        .request(target)
        .compose(r -> r.send())
        .onComplete(
            done ->
                policyRunner.onEvent(
                    new HealthCheckCompleted(
                        server,
                        policyRunner.clock().now() - startedAt,
                        done.failed()
                            ? CallResult.TIMEOUT
                            : CallResults.ofStatus(done.result().statusCode()),
                        done.failed()
                            ? Map.of()
                            : LoadReportParser.parse(
                                    done.result().getHeader(LoadReportParser.HEADER))
                                .load())));
  }
}
