package fawndock.ratelimit;

import fawndock.gateway.QuotaService;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.ratelimit.DescriptorMatcher.QuotaRequest;
import fawndock.ratelimit.proto.RateLimitDescriptor;
import fawndock.ratelimit.proto.RateLimitRequest;
import fawndock.ratelimit.proto.RateLimitResponse;
import fawndock.settings.GatewaySettings;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.grpc.common.GrpcMessageDecoder;
import io.vertx.grpc.common.GrpcMessageEncoder;
import io.vertx.grpc.common.GrpcStatus;
import io.vertx.grpc.common.ServiceMethod;
import io.vertx.grpc.common.ServiceName;
import io.vertx.grpc.server.GrpcServer;
import io.vertx.grpc.server.GrpcServerOptions;
import io.vertx.grpc.server.GrpcServerRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The rate limit service on an event loop of its own, so that its floods do not hold up requests
 * that are passed on.
 */
public final class RateLimitService extends VerticleBase {
  /** How it is called. */
  public static final ServiceMethod<RateLimitRequest, RateLimitResponse> SHOULD_RATE_LIMIT =
      ServiceMethod.server(
          ServiceName.create("envoy.service.ratelimit.v3.RateLimitService"),
          "ShouldRateLimit",
          GrpcMessageEncoder.encoder(),
          GrpcMessageDecoder.decoder(RateLimitRequest.newBuilder()));

  private static final Logger LOG = LoggerFactory.getLogger(RateLimitService.class);
  private static final long MAX_MESSAGE_BYTES = 64 << 10;
  private static final int MAX_DESCRIPTORS = 64;
  private static final long DEFAULT_TIMEOUT_MILLIS = 1_000;
  private final GatewaySettings settings;
  private final Function<PolicyConfig, GatewayPolicy> policyFactory;
  private final DescriptorMatcher descriptorMatcher;
  private final Map<String, Plan> plans = new HashMap<>();
  private QuotaService quotaService;
  private HttpServer server;

  /**
   * @param maker makes the decisions from the settings
   */
  public RateLimitService(GatewaySettings settings, Function<PolicyConfig, GatewayPolicy> maker) {
    this.settings = settings;
    this.policyFactory = maker;
    this.descriptorMatcher = new DescriptorMatcher(settings.rateLimit().descriptors());
    settings.plans().forEach(p -> plans.put(p.name(), p));
  }

  @Override
  public Future<?> start() {
    quotaService =
        new QuotaService(vertx, context, settings, settings.firstInstance(), policyFactory);
    GrpcServer grpc =
        GrpcServer.server(vertx, new GrpcServerOptions().setMaxMessageSize(MAX_MESSAGE_BYTES));
    grpc.callHandler(
        SHOULD_RATE_LIMIT, call -> call.handler(asked -> shouldRateLimit(call, asked)));
    server =
        vertx
            .createHttpServer(
                new HttpServerOptions().setHttp2ClearTextEnabled(true).setTcpNoDelay(true))
            .requestHandler(grpc);
    return server
        .listen(settings.rateLimit().listen().port(), settings.rateLimit().listen().host())
        .onSuccess(
            s ->
                LOG.info(
                    "rate limit service listens on {}:{}",
                    settings.rateLimit().listen().host(),
                    s.actualPort()));
  }

  /** Where it listens. */
  public int port() {
    return server.actualPort();
  }

  @Override
  public Future<?> stop() {
    quotaService.close();
    return server.close();
  }

  private void shouldRateLimit(
      GrpcServerRequest<RateLimitRequest, RateLimitResponse> call, RateLimitRequest asked) {
    List<QuotaRequest> meanings = new ArrayList<>();
    try {
      if (asked.getDomain().isEmpty()
          || asked.getDescriptorsCount() == 0
          || asked.getDescriptorsCount() > MAX_DESCRIPTORS) {
        throw new IllegalArgumentException(
            "a domain and 1 to "
                + MAX_DESCRIPTORS
                + " descriptors are expected, there are "
                + asked.getDescriptorsCount()
                + " in domain '"
                + asked.getDomain()
                + "'");
      }
      for (RateLimitDescriptor each : asked.getDescriptorsList()) {
        if (each.hasLimit()) {
          throw new IllegalArgumentException(
              "a descriptor overrides its limit; limits are those of the plans");
        }
        meanings.add(
            descriptorMatcher.match(
                asked.getDomain(),
                each.getEntriesList().stream()
                    .map(e -> Map.entry(e.getKey(), e.getValue()))
                    .toList(),
                each.hasHitsAddend() ? each.getHitsAddend().getValue() : asked.getHitsAddend()));
      }
    } catch (IllegalArgumentException e) {
      call.response().status(GrpcStatus.INVALID_ARGUMENT).statusMessage(e.getMessage()).end();
      return;
    }
    long millis = call.timeout() > 0 ? call.timeout() : DEFAULT_TIMEOUT_MILLIS;
    RateLimitCall batch =
        new RateLimitCall(
            plans,
            meanings,
            quotaService,
            answer -> {
              if (answer == null) {
                call.response()
                    .status(GrpcStatus.UNAVAILABLE)
                    .statusMessage("not decided in time")
                    .end();
              } else {
                call.response().end(answer);
              }
            });
    call.exceptionHandler(e -> batch.cancel());
    batch.start(Math.max(1, millis) * 1_000);
  }
}
