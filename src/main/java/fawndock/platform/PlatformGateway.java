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
 * One gateway instance on the platform: connects clients, backends, the counter and endpoint
 * discovery to one policy. Confined to one event loop.
 */
final class PlatformGateway implements PolicyRunner.GatewayConnections, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformGateway.class);

  /** Share of the file descriptors that client connections may use. */
  private static final double CLIENT_SOCKET_RATIO = 0.45;

  /**
   * Share for backend connections. The rest is for the counter, discovery and files, with a
   * reserve.
   */
  private static final double BACKEND_SOCKET_RATIO = 0.32;

  /** Requests in flight may hold the process's memory limit divided by this. */
  private static final long REQUEST_MEMORY_DIVISOR = 16;

  /** Responses that cannot be written yet may hold the process's memory limit divided by this. */
  private static final long RESPONSE_MEMORY_DIVISOR = 8;

  /** Commands received in part may hold the process's memory limit divided by this. */
  private static final long PARTIAL_COMMAND_MEMORY_DIVISOR = 32;

  /** Replies of backends received in part may hold the process's memory limit divided by this. */
  private static final long PARTIAL_REPLY_MEMORY_DIVISOR = 32;

  /** The quotas of customers may hold the process's memory limit divided by this. */
  private static final long QUOTA_MEMORY_DIVISOR = 24;

  /** Time to wait for a list from discovery before listening with the known endpoint list. */
  private static final long FIRST_LIST_TIMEOUT_MICROS = 3_000_000;

  private static final long ACTIVITY_INTERVAL_MICROS = 5_000_000;
  private static final long CLOSE_IDLE_INTERVAL_MICROS = 1_000_000;

  /**
   * Share of the endpoints' idle timeout after which the gateway closes an idle connection. If
   * connections were reused up to the full timeout, requests would meet a reset.
   */
  private static final double IDLE_TIMEOUT_RATIO = 0.5;

  /** Idle timeout of backend connections if that of the endpoints is unknown. */
  private static final long DEFAULT_IDLE_TIMEOUT_MICROS = 20_000_000;

  /**
   * Separates the random sequence of the retry jitter from the policy's, which has the same seed.
   */
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

  /** Creates the gateway, on its event loop; it does not listen yet. */
  PlatformGateway(
      Vertx vertx,
      TcpTransport transport,
      PlatformConfig config,
      Function<PolicyConfig, GatewayPolicy> policyFactory) {
    this.transport = transport;
    this.config = config;
    PolicyConfig policyConfig = config.policy();
    timers = new Timers(vertx);
    runner =
        new PolicyRunner(clock, timers, this, policyConfig.limits().maxAttempts(), 1, activity);
    runner.setPolicy(policyFactory.apply(withQuotaMemory(policyConfig, config.memoryBytes())));
    pools = new BackendConnectionPools(transport, clock::nowMicros, activity, poolLimits(config));
    directory =
        new EndpointDirectory(
            transport,
            runner,
            pools,
            new SplittableRandom(policyConfig.randomSeed() ^ JITTER_SEED_MASK));
    counter = createCounterClient();
    clientListener = createClientListener();
    closeIdleConnections();
  }

  private static PolicyConfig withQuotaMemory(PolicyConfig policyConfig, long memoryBytes) {
    return policyConfig.withLimits(
        policyConfig.limits().withMaxQuotaBytes(memoryBytes / QUOTA_MEMORY_DIVISOR));
  }

  private static BackendConnectionPools.Limits poolLimits(PlatformConfig config) {
    long endpointTimeoutMicros = config.endpointIdleTimeoutMicros();
    return new BackendConnectionPools.Limits(
        (int) (BACKEND_SOCKET_RATIO * config.maxSockets()),
        config.connectTimeoutMicros(),
        endpointTimeoutMicros <= 0
            ? DEFAULT_IDLE_TIMEOUT_MICROS
            : (long) (IDLE_TIMEOUT_RATIO * endpointTimeoutMicros),
        config.memoryBytes() / PARTIAL_REPLY_MEMORY_DIVISOR);
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
            config.memoryBytes() / REQUEST_MEMORY_DIVISOR,
            config.memoryBytes() / RESPONSE_MEMORY_DIVISOR,
            config.memoryBytes() / PARTIAL_COMMAND_MEMORY_DIVISOR));
  }

  /** Watches endpoint discovery, and listens once an endpoint list is available. */
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
                    "gateway listening: name={} instance={}/{} address={}",
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

  /** Listens with this endpoint list and without endpoint discovery, for {@link WarmUp}. */
  ChannelFuture startForWarmUp(EndpointList endpoints) {
    directory.apply(endpoints, EndpointUpdateKind.SNAPSHOT);
    return clientListener.listen(config.listen());
  }

  /**
   * Applies the addresses of a new configuration. Without a counter address the current counter
   * stays in use. The policy keeps its state and settings.
   */
  void reload(PlatformConfig newConfig) {
    counter.setAddress(newConfig.counter());
    directory.watch(newConfig.discovery());
    LOG.info(
        "configuration reloaded: discovery={} counter={}",
        newConfig.discovery(),
        newConfig.counter());
  }

  ClientListener clientListener() {
    return clientListener;
  }

  PolicyRunner runner() {
    return runner;
  }

  /** Schedules the activity log line, which is written every few seconds at any load. */
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
        pools.openConnectionCount(),
        delayMicros / 1_000,
        activity.summarizeAndReset());
    scheduleActivityLog();
  }

  private void closeIdleConnections() {
    pools.closeIdleConnections();
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
    LOG.debug("peer message dropped, the platform has no connections between instances");
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

  /** Reports to the policy that no health check was sent, because the platform has none. */
  @Override
  public void startHealthCheck(String endpointId) {
    runner.onEvent(new HealthCheckCompleted(endpointId, 0, CallResult.NOT_SENT, LoadReport.NONE));
  }
}
