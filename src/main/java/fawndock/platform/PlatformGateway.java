package fawndock.platform;

import fawndock.policy.GatewayPolicy;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.action.SendPeerMessage;
import fawndock.policy.config.PolicyConfig;
import fawndock.policy.event.CallResult;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdate;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.HealthCheckCompleted;
import fawndock.runtime.InFlightAttempt;
import fawndock.runtime.InFlightRequest;
import fawndock.runtime.MicroClock;
import fawndock.runtime.PolicyRunner;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import io.netty.channel.ChannelFuture;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One gatekeeper on the platform, with its sockets, on one event-loop context. */
final class PlatformGateway implements PolicyRunner.GatewayConnections {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformGateway.class);

  /**
   * Shares of the descriptors; the rest is kept for the counter, the catalog, files and a reserve.
   */
  private static final double CLIENTS = 0.45;

  private static final double WORKERS = 0.32;
  private static final long MOST_BYTES_SHARE = 16;
  private static final long LIST_WAIT_MICROS = 3_000_000;
  private static final long REPORT_MICROS = 5_000_000;
  private static final long SWEEP_MICROS = 1_000_000;

  /**
   * Of the time after which a worker closes an idle connection; used up to then, it would end as a
   * reset.
   */
  private static final double IDLE_PART = 0.5;

  private static final long IDLE_MICROS = 20_000_000;
  private final TcpTransport sockets;
  private final PlatformConfig config;
  private final MicroClock clock = new MicroClock();
  private final Timers alarms;
  private final PolicyRunner runner;
  private final ActivitySummary figures = new ActivitySummary();
  private final BackendConnectionPools workers;
  private final CounterClient counter;
  private final ClientListener clientListener;
  private final Promise<Void> listed = Promise.promise();

  /** The newest last; those before it until it has spoken. */
  private final ArrayDeque<EndpointWatch> catalogs = new ArrayDeque<>();

  private final SplittableRandom random;
  private long reportAt;
  private Address discovery;

  /** Made on the context that it belongs to. */
  PlatformGateway(
      Vertx vertx,
      TcpTransport sockets,
      PlatformConfig config,
      Function<PolicyConfig, GatewayPolicy> maker) {
    this.sockets = sockets;
    this.config = config;
    PolicyConfig settings = config.policy();
    random =
        new SplittableRandom(
            settings.randomSeed() ^ 0x5DEECE66DL); // Not the decisions' own numbers.
    alarms = new Timers(vertx);
    runner = new PolicyRunner(clock, alarms, this, settings.limits().maxAttempts(), 1, figures);
    runner.setPolicy(maker.apply(settings));
    long idle =
        config.endpointIdleTimeoutMicros() <= 0
            ? IDLE_MICROS
            : (long) (IDLE_PART * config.endpointIdleTimeoutMicros());
    workers =
        new BackendConnectionPools(
            sockets,
            clock::now,
            figures,
            (int) (WORKERS * config.maxSockets()),
            config.connectTimeoutMicros(),
            idle);
    counter =
        new CounterClient(
            sockets,
            config.counter(),
            clock,
            alarms,
            figures,
            config.connectTimeoutMicros(),
            settings.counter().timeoutMicros(),
            runner::onEvent);
    clientListener =
        new ClientListener(
            sockets,
            runner,
            new ClientCommand.Terms(config),
            (int) (CLIENTS * config.maxSockets()),
            settings.limits().maxInFlight(),
            config.memoryBytes() / MOST_BYTES_SHARE);
    sweep();
  }

  /** Follows the catalog and listens as soon as the list of workers is known. */
  Future<?> start() {
    if (!config.knownEndpoints().endpoints().isEmpty()) {
      take(config.knownEndpoints(), EndpointUpdateKind.CACHED);
      alarms.schedule(LIST_WAIT_MICROS, listed::tryComplete);
    }
    follow(config.discovery());
    report();
    return listed
        .future()
        .compose(
            v -> {
              Promise<Void> bound = Promise.promise();
              clientListener
                  .listen(config.listen())
                  .addListener(
                      done -> {
                        if (done.isSuccess()) {
                          bound.complete();
                        } else {
                          bound.fail(done.cause());
                        }
                      });
              return bound.future();
            })
        .onSuccess(
            v ->
                LOG.info(
                    "{} ({} of {}) listens on {}",
                    config.name(),
                    config.policy().instanceIndex(),
                    config.policy().instanceCount(),
                    config.listen()));
  }

  /** Listens with this list of workers and follows no catalog: for {@link WarmUp}. */
  ChannelFuture warmUp(EndpointList list) {
    take(list, EndpointUpdateKind.SNAPSHOT);
    return clientListener.listen(config.listen());
  }

  private void follow(Address address) {
    List<EndpointWatch> before = List.copyOf(catalogs);
    discovery = address;
    boolean[] heard = new boolean[1];
    EndpointWatch catalog =
        new EndpointWatch(
            sockets,
            address,
            alarms,
            random.split(),
            list -> {
              if (!heard[0]) {
                heard[0] = true;
                before.forEach(
                    EndpointWatch
                        ::close); // Not sooner: until the new one speaks, what they tell counts.
                catalogs.removeAll(before);
              }
              take(
                  list,
                  list.isSnapshot() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.CHANGES);
              listed.tryComplete();
            });
    catalogs.add(catalog);
    catalog.start();
  }

  private void take(EndpointList list, EndpointUpdateKind listing) {
    if (listing == EndpointUpdateKind.SNAPSHOT) {
      workers.keep(list.addresses().keySet());
    }
    list.endpoints()
        .forEach(
            s -> {
              if (s.state() == EndpointState.REMOVED) {
                workers.forget(s.id());
              } else if (list.addresses().containsKey(s.id())) {
                workers.address(s.id(), list.addresses().get(s.id()));
              }
              workers.draining(s.id(), s.state() == EndpointState.DRAINING);
            });
    runner.onEvent(new EndpointUpdate(listing, list.endpoints()));
  }

  /** Takes up the addresses of a new configuration; the decisions keep what they know. */
  void reload(PlatformConfig fresh) {
    counter.moveTo(fresh.counter());
    if (!fresh.discovery().equals(discovery)) {
      follow(fresh.discovery());
    }
    LOG.info("new configuration: discovery {}, counter {}", fresh.discovery(), fresh.counter());
  }

  ClientListener clientListener() {
    return clientListener;
  }

  PolicyRunner runner() {
    return runner;
  }

  /** One line every few seconds, whatever the load. */
  private void report() {
    alarms.schedule(
        REPORT_MICROS,
        () -> {
          long late = clock.now() - reportAt - REPORT_MICROS;
          LOG.info(
              "open {}, clients {}, workers {}, loop {} ms late; {}",
              runner.openCount(),
              clientListener.connectionCount(),
              workers.open(),
              late / 1_000,
              figures.summarizeAndReset());
          report();
        });
    reportAt = clock.now();
  }

  private void sweep() {
    workers.sweep();
    alarms.schedule(SWEEP_MICROS, this::sweep);
  }

  void close() {
    clientListener.close();
    counter.close();
    workers.close();
    catalogs.forEach(EndpointWatch::close);
    alarms.close();
  }

  @Override
  public void addToCounter(AddToCounter count) {
    counter.count(count);
  }

  @Override
  public void sendPeerMessage(SendPeerMessage tell) {
    LOG.debug("the platform carries no messages between gatekeepers");
  }

  @Override
  public void watchEndpoints() {
    catalogs.getLast().start();
  }

  @Override
  public void fetchEndpoints() {
    catalogs.getLast().start();
  }

  @Override
  public InFlightAttempt createAttempt(InFlightRequest request, int number, String server) {
    return new BackendAttempt(runner, request, number, server, workers);
  }

  @Override
  public void startHealthCheck(String server) {
    runner.onEvent(new HealthCheckCompleted(server, 0, CallResult.NOT_SENT, Map.of()));
  }
}
