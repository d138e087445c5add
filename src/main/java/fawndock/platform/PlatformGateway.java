package fawndock.platform;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.SendPeerMessage;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.HealthCheckCompleted;
import fawndock.policy.event.LoadReport;
import fawndock.runtime.InFlightAttempt;
import fawndock.runtime.InFlightRequest;
import fawndock.runtime.MicroClock;
import fawndock.runtime.PolicyRunner;
import fawndock.runtime.Timers;
import io.netty.channel.ChannelFuture;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One gateway instance on the platform: wires clients, backends, counter and endpoint discovery to
 * one policy. Confined to one event loop.
 */
final class PlatformGateway implements PolicyRunner.GatewayConnections, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformGateway.class);

  /** Share of the descriptors for clients. */
  private static final double CLIENT_SOCKET_RATIO = 0.45;

  /** Share for backends; the rest is left to counter, discovery and files, with a reserve. */
  private static final double BACKEND_SOCKET_RATIO = 0.32;

  /** Requests in flight hold at most the memory divided by this. */
  private static final long REQUEST_MEMORY_DIVISOR = 16;

  /** The known endpoint list is used when discovery has brought none after this time. */
  private static final long FIRST_LIST_TIMEOUT_MICROS = 3_000_000;

  private static final long ACTIVITY_INTERVAL_MICROS = 5_000_000;
  private static final long CLOSE_IDLE_INTERVAL_MICROS = 1_000_000;

  /**
   * Share of the time after which endpoints close idle connections. A request on a connection that
   * is used up to that time would meet a reset.
   */
  private static final double IDLE_TIMEOUT_RATIO = 0.5;

  /** Where the endpoints' idle timeout is not known. */
  private static final long DEFAULT_IDLE_TIMEOUT_MICROS = 20_000_000;

  /** Keeps the retry jitter apart from the policy's random numbers, which have the same seed. */
  private static final long JITTER_SEED_MASK = 0x5DEECE66DL;

  private final TcpTransport transport;
  private final PlatformConfig config;
  private final MicroClock clock = new MicroClock();
  private final Timers timers;
  private final PolicyRunner runner;
  private final ActivitySummary activity = new ActivitySummary();
  private final BackendConnectionPools pools;
  private final EndpointDirectory directory;
  private final CounterClient counter;
  private final ClientListener clientListener;
  private long activityLoggedAtMicros;

  /** Creates the gateway on the event loop that it belongs to; it does not listen yet. */
  PlatformGateway(
      Vertx vertx,
      TcpTransport transport,
      PlatformConfig config,
      Function<PolicyConfig, GatewayPolicy> policyFactory) {
    this.transport = transport;
    this.config = config;
    PolicyConfig policy = config.policy();
    timers = new Timers(vertx);
    runner = new PolicyRunner(clock, timers, this, policy.limits().maxAttempts(), 1, activity);
    runner.setPolicy(policyFactory.apply(policy));
    pools = new BackendConnectionPools(transport, clock::nowMicros, activity, poolLimits(config));
    directory =
        new EndpointDirectory(
            transport, runner, pools, new SplittableRandom(policy.randomSeed() ^ JITTER_SEED_MASK));
    counter = createCounterClient();
    clientListener = createClientListener();
    closeIdleConnections();
  }

  private static BackendConnectionPools.Limits poolLimits(PlatformConfig config) {
    long endpointTimeoutMicros = config.endpointIdleTimeoutMicros();
    return new BackendConnectionPools.Limits(
        (int) (BACKEND_SOCKET_RATIO * config.maxSockets()),
        config.connectTimeoutMicros(),
        endpointTimeoutMicros <= 0
            ? DEFAULT_IDLE_TIMEOUT_MICROS
            : (long) (IDLE_TIMEOUT_RATIO * endpointTimeoutMicros));
  }

  private CounterClient createCounterClient() {
    return new CounterClient(
        transport,
        config.counter(),
        clock,
        timers,
        activity,
        new CounterClient.Timeouts(
            config.connectTimeoutMicros(), config.policy().counter().timeoutMicros()),
        runner::onEvent);
  }

  private ClientListener createClientListener() {
    return new ClientListener(
        transport,
        runner,
        new ClientCommandParser(config),
        new ClientListener.Limits(
            (int) (CLIENT_SOCKET_RATIO * config.maxSockets()),
            config.policy().limits().maxInFlight(),
            config.memoryBytes() / REQUEST_MEMORY_DIVISOR));
  }

  /** Watches endpoint discovery, and listens once there is an endpoint list. */
  Future<?> start() {
    boolean hasKnownEndpoints = !config.knownEndpoints().endpoints().isEmpty();
    if (hasKnownEndpoints) {
      directory.apply(config.knownEndpoints(), EndpointUpdateKind.CACHED);
    }
    directory.watch(config.discovery());
    scheduleActivityLog();
    return directory
        .awaitFirstList(hasKnownEndpoints ? FIRST_LIST_TIMEOUT_MICROS : 0)
        .compose(list -> listen())
        .onSuccess(
            listening ->
                LOG.info(
                    "listening, name={}, instance={}/{}, address={}",
                    config.name(),
                    config.policy().instanceIndex(),
                    config.policy().instanceCount(),
                    config.listen()));
  }

  private Future<Void> listen() {
    Promise<Void> listening = Promise.promise();
    clientListener
        .listen(config.listen())
        .addListener(
            bound -> {
              if (bound.isSuccess()) {
                listening.complete();
              } else {
                listening.fail(bound.cause());
              }
            });
    return listening.future();
  }

  /** Listens with this endpoint list and without endpoint discovery: for {@link WarmUp}. */
  ChannelFuture startForWarmUp(EndpointList endpoints) {
    directory.apply(endpoints, EndpointUpdateKind.SNAPSHOT);
    return clientListener.listen(config.listen());
  }

  /**
   * Takes the addresses of a new configuration; one without a counter keeps the present one. The
   * policy keeps its state and settings.
   */
  void reload(PlatformConfig newConfig) {
    counter.setAddress(newConfig.counter());
    directory.watch(newConfig.discovery());
    LOG.info(
        "configuration reloaded, discovery={}, counter={}",
        newConfig.discovery(),
        newConfig.counter());
  }

  ClientListener clientListener() {
    return clientListener;
  }

  PolicyRunner runner() {
    return runner;
  }

  /** Logs one line every few seconds, whatever the load. */
  private void scheduleActivityLog() {
    activityLoggedAtMicros = clock.nowMicros();
    timers.schedule(ACTIVITY_INTERVAL_MICROS, this::logActivity);
  }

  private void logActivity() {
    long delayMicros = clock.nowMicros() - activityLoggedAtMicros - ACTIVITY_INTERVAL_MICROS;
    LOG.info(
        "activity, openRequests={}, clientConnections={}, backendConnections={}, loopDelayMillis={}, {}",
        runner.openRequestCount(),
        clientListener.connectionCount(),
        pools.openCount(),
        delayMicros / 1_000,
        activity.summarizeAndReset());
    scheduleActivityLog();
  }

  private void closeIdleConnections() {
    pools.closeIdle();
    timers.schedule(CLOSE_IDLE_INTERVAL_MICROS, this::closeIdleConnections);
  }

  /** Closes all connections and timers. Idempotent. */
  @Override
  public void close() {
    clientListener.close();
    counter.close();
    pools.close();
    directory.close();
    timers.close();
  }

  @Override
  public void addToCounter(AddToCounter action) {
    counter.add(action);
  }

  @Override
  public void sendPeerMessage(SendPeerMessage action) {
    LOG.debug("peer message dropped, the platform carries none");
  }

  @Override
  public void watchEndpoints() {
    directory.refresh();
  }

  @Override
  public void fetchEndpoints() {
    directory.refresh();
  }

  @Override
  public InFlightAttempt createAttempt(InFlightRequest request, int index, String endpointId) {
    return new BackendAttempt(runner, request, index, endpointId, pools);
  }

  /** The platform has no health checks: the policy is told that none was sent. */
  @Override
  public void startHealthCheck(String endpointId) {
    runner.onEvent(new HealthCheckCompleted(endpointId, 0, CallResult.NOT_SENT, LoadReport.NONE));
  }
}
