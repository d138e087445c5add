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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** The gatekeepers of one process, started and stopped together. */
public final class GatewayServer {
  private final GatewaySettings settings;
  private final Function<PolicyConfig, GatewayPolicy> policyFactory;
  private final Vertx vertx;
  private final List<GatewayVerticle> gateways = new ArrayList<>();
  private final AtomicInteger openConnections = new AtomicInteger();
  private Future<Void> stopped;

  /** A daemon whose requests {@link DefaultGatewayPolicy} decides. */
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
   * Starts all gatekeepers; completes with the port on which clients are heard, or fails when one
   * could not listen. On any thread.
   */
  public synchronized Future<Integer> start() {
    Future<Integer> started = Future.succeededFuture(settings.listen().port());
    for (int i = 0; i < settings.instances(); i++) {
      int me = settings.firstInstance() + i;
      started =
          started.compose(
              port -> {
                GatewayVerticle node =
                    new GatewayVerticle(settings, me, port, openConnections, policyFactory);
                gateways.add(node);
                return vertx.deployVerticle(node, new DeploymentOptions()).map(id -> node.port());
              });
    }
    return started;
  }

  /** Starts something beside the gatekeepers, on an event loop of its own; it ends with them. */
  public Future<String> deployBeside(VerticleBase other) {
    return vertx.deployVerticle(other, new DeploymentOptions());
  }

  /**
   * Answers what is open, then closes everything. Takes at most the stop time of the settings and 5
   * s.
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
          .get(settings.http().drainTimeoutMicros() / 1_000 + 5_000, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
      vertx.close();
    }
  }
}
