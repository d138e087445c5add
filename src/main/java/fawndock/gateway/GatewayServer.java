package fawndock.gateway;

import fawndock.policy.DefaultGatewayPolicy;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.config.PolicyConfig;
import fawndock.settings.GatewaySettings;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Runs the gateway instances of one process and starts and stops them together. All methods may be
 * called from any thread, except for {@link #stopAndWait} on an event loop.
 */
public final class GatewayServer {
  private static final long CLOSE_TIMEOUT_MILLIS = 5_000;

  private final GatewaySettings settings;
  private final Function<PolicyConfig, GatewayPolicy> policyFactory;
  private final Vertx vertx;
  private final List<GatewayVerticle> gateways = new ArrayList<>();
  private final AtomicInteger openConnections = new AtomicInteger();
  private Future<Void> stopped;

  /** Creates a server that uses {@link DefaultGatewayPolicy}. */
  public GatewayServer(GatewaySettings settings) {
    this(settings, DefaultGatewayPolicy::new);
  }

  GatewayServer(GatewaySettings settings, Function<PolicyConfig, GatewayPolicy> policyFactory) {
    this.settings = settings;
    this.policyFactory = policyFactory;
    this.vertx =
        Vertx.vertx(
            new VertxOptions()
                .setEventLoopPoolSize(
                    settings.instances() + (settings.rateLimit().listen() == null ? 0 : 1)));
  }

  /**
   * Starts all instances. The future completes with the port that clients connect to, or fails if
   * an instance could not listen.
   */
  public synchronized Future<Integer> start() {
    Future<Integer> started = Future.succeededFuture(settings.listen().port());
    for (int i = 0; i < settings.instances(); i++) {
      int instanceIndex = settings.firstInstance() + i;
      started =
          started.compose(
              port -> {
                GatewayVerticle gateway =
                    new GatewayVerticle(
                        settings, instanceIndex, port, openConnections, policyFactory);
                gateways.add(gateway);
                return vertx
                    .deployVerticle(gateway, new DeploymentOptions())
                    .map(id -> gateway.port());
              });
    }
    return started;
  }

  /**
   * Deploys another verticle on a separate event loop; it is stopped together with the instances.
   */
  public Future<String> deployVerticle(VerticleBase verticle) {
    return vertx.deployVerticle(verticle, new DeploymentOptions());
  }

  /**
   * Drains all instances, then closes them and all connections. This takes at most the configured
   * drain timeout plus 5 s. Later calls return the same future.
   */
  public synchronized Future<Void> stop() {
    if (stopped == null) {
      stopped =
          Future.join(gateways.stream().map(GatewayVerticle::drain).toList())
              .transform(v -> vertx.close());
    }
    return stopped;
  }

  /** Stops the server and waits until it is stopped; must not be called on an event loop. */
  public void stopAndWait() {
    try {
      stop()
          .toCompletionStage()
          .toCompletableFuture()
          .get(
              settings.http().drainTimeoutMicros() / 1_000 + CLOSE_TIMEOUT_MILLIS,
              TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      var unused = vertx.close(); // The process exits without waiting any longer.
    }
  }
}
