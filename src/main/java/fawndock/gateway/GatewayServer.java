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

/** The gateway instances of one process, started and stopped together. Any thread. */
public final class GatewayServer {
  private static final long CLOSE_MILLIS = 5_000;

  private final GatewaySettings settings;
  private final Function<PolicyConfig, GatewayPolicy> policyFactory;
  private final Vertx vertx;
  private final List<GatewayVerticle> gateways = new ArrayList<>();
  private final AtomicInteger openConnections = new AtomicInteger();
  private Future<Void> stopped;

  /** A server whose requests {@link DefaultGatewayPolicy} decides. */
  public GatewayServer(GatewaySettings settings) {
    this(settings, DefaultGatewayPolicy::new);
  }

  GatewayServer(GatewaySettings settings, Function<PolicyConfig, GatewayPolicy> maker) {
    this.settings = settings;
    this.policyFactory = maker;
    this.vertx =
        Vertx.vertx(
            new VertxOptions()
                .setEventLoopPoolSize(
                    settings.instances() + (settings.rateLimit().listen() == null ? 0 : 1)));
  }

  /**
   * Starts all instances; completes with the port that clients connect to, or fails when one could
   * not listen.
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
   * Starts another verticle beside the instances, on an event loop of its own; it stops with them.
   */
  public Future<String> deployVerticle(VerticleBase other) {
    return vertx.deployVerticle(other, new DeploymentOptions());
  }

  /**
   * Drains, then closes everything. Takes at most the settings' drain timeout and 5 s; calling it
   * again gives the same future.
   */
  public synchronized Future<Void> stop() {
    if (stopped == null) {
      stopped =
          Future.join(gateways.stream().map(GatewayVerticle::drain).toList())
              .transform(all -> vertx.close());
    }
    return stopped;
  }

  /** Stops and waits for it; not to be called on an event loop. */
  public void stopAndWait() {
    try {
      stop()
          .toCompletionStage()
          .toCompletableFuture()
          .get(settings.http().drainTimeoutMicros() / 1_000 + CLOSE_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      var unused = vertx.close(); // The process ends without what did not stop in time.
    }
  }
}
