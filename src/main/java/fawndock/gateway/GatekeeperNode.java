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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One gatekeeper with its sockets, on one event loop; a process runs one or several. */
public final class GatekeeperNode extends VerticleBase
    implements PolicyRunner.GatewayConnections, WorkerAttempt.Ways {
  /**
   * How often a host looks at its gatekeeper's timers: the least gap between two batches of events.
   */
  private static final long ROUND_MICROS = 5_000;

  private static final Logger LOG = LoggerFactory.getLogger(GatekeeperNode.class);
  private final GatewaySettings settings;
  private final int me;
  private final int port;
  private final AtomicInteger connections;
  private final Function<PolicyConfig, GatewayPolicy> maker;
  private HttpServer server;
  private WorkerPools workers;
  private Timers alarms;
  private PolicyRunner host;
  private CounterLink counter;
  private PeerLink peers;
  private RosterLink roster;

  /**
   * A node that is not started yet.
   *
   * @param me its number in the fleet
   * @param port where it listens: that of the settings, or the free one that the first node got
   * @param connections the connections that the process has open, all nodes together
   * @param maker makes the decisions from the settings
   */
  GatekeeperNode(
      GatewaySettings settings,
      int me,
      int port,
      AtomicInteger connections,
      Function<PolicyConfig, GatewayPolicy> maker) {
    this.settings = settings;
    this.me = me;
    this.port = port;
    this.connections = connections;
    this.maker = maker;
  }

  @Override
  public Future<?> start() {
    MicroClock clock = new MicroClock();
    alarms = new Timers(vertx);
    AnswerLog answerLog = new AnswerLog(me, true);
    workers = new WorkerPools(vertx, settings);
    host =
        new PolicyRunner(
            clock, alarms, this, settings.limits().maxAttempts(), clock.now(), answerLog);
    host.setPolicy(
        maker.apply(
            new PolicyConfig(
                me,
                settings.fleet(),
                settings.seed() + me,
                ROUND_MICROS,
                settings.zone(),
                settings.roster().mustAsk(),
                settings.classes(),
                settings.plans(),
                settings.limits(),
                settings.rules(),
                new CounterConfig(
                    !settings.counter().none(),
                    settings.counter().timeoutMicros(),
                    settings.counter().settled()))));
    counter = new CounterLink(vertx, context, settings.counter(), clock, alarms, host::onEvent);
    peers =
        settings.peers().listen() == null
            ? null
            : new PeerLink(vertx, settings.peers(), me, clock, host::onEvent);
    roster = new RosterLink(vertx, settings.roster(), alarms, host::onEvent);
    roster.start();
    Front front = new Front(settings, host, answerLog);
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
                  if (connections.incrementAndGet() > settings.http().maxConnections()) {
                    connection.close();
                  }
                  connection.closeHandler(closed -> connections.decrementAndGet());
                })
            .requestHandler(front::handle);
    Future<?> heard = peers == null ? Future.succeededFuture() : peers.start();
    // Roster and counter connect while it warms up: the first client then meets a gatekeeper that
    // knows both.
    return heard
        .compose(any -> new WarmUp(vertx, settings, maker).run())
        .compose(any -> server.listen(port, settings.listen().host()))
        .onSuccess(
            s ->
                LOG.info(
                    "gatekeeper {} of {} listens on {}:{}",
                    me,
                    settings.fleet(),
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
          long millis = Math.max(1, settings.http().stopMicros() / 1_000);
          LOG.info("gatekeeper {} stops with {} requests open", me, host.openCount());
          Future<Void> closing = server.shutdown(millis, TimeUnit.MILLISECONDS);
          host.whenIdle(() -> closing.onComplete(closed -> drained.tryComplete()));
          vertx.setTimer(millis, id -> drained.tryComplete());
        });
    return drained.future();
  }

  @Override
  public Future<?> stop() {
    counter.close();
    roster.close();
    if (peers != null) {
      peers.close();
    }
    alarms.close();
    return workers.close();
  }

  @Override
  public void addToCounter(AddToCounter count) {
    counter.count(count);
  }

  @Override
  public void sendPeerMessage(SendPeerMessage tell) {
    if (peers != null) {
      peers.tell(tell);
    }
  }

  @Override
  public void watchEndpoints() {
    roster.watch();
  }

  @Override
  public void fetchEndpoints() {
    roster.watch();
  }

  @Override
  public RequestOptions target(String id) {
    Address address = roster.address(id);
    return address == null
        ? null
        : new RequestOptions().setHost(address.host()).setPort(address.port());
  }

  @Override
  public WorkerPools workers() {
    return workers;
  }

  @Override
  public int answerLimit() {
    return settings.http().answerLimit();
  }

  @Override
  public InFlightAttempt createAttempt(InFlightRequest request, int number, String server) {
    return new WorkerAttempt(host, request, number, server, this);
  }

  @Override
  public void startHealthCheck(String server) {
    long startedAt = host.clock().now();
    RequestOptions target = target(server);
    if (target == null) {
      host.onEvent(
          new HealthCheckCompleted(
              server, 0, CallResult.NOT_SENT, fawndock.policy.event.LoadReport.NONE));
      return;
    }
    target.setURI("/healthz").setTimeout(1_000);
    workers
        .request(target)
        .compose(r -> r.send())
        .onComplete(
            done ->
                host.onEvent(
                    new HealthCheckCompleted(
                        server,
                        host.clock().now() - startedAt,
                        done.failed()
                            ? CallResult.TIMEOUT
                            : Ends.answered(done.result().statusCode()),
                        done.failed()
                            ? fawndock.policy.event.LoadReport.NONE
                            : LoadReport.parse(done.result().getHeader(LoadReport.HEADER))
                                .load())));
  }
}
