package fawndock.ratelimit;

import fawndock.gateway.QuotaService;
import fawndock.policy.GatewayPolicy;
import fawndock.policy.config.Plan;
import fawndock.policy.config.PolicyConfig;
import fawndock.ratelimit.DescriptorMatcher.QuotaRequest;
import fawndock.ratelimit.proto.RateLimitDescriptor;
import fawndock.ratelimit.proto.RateLimitRequest;
import fawndock.ratelimit.proto.RateLimitResponse;
import fawndock.settings.Address;
import fawndock.settings.GatewaySettings;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
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
 * The gRPC rate limit service ({@code envoy.service.ratelimit.v3.RateLimitService}). It runs on its
 * own event loop, so that a large number of calls does not delay forwarded requests.
 */
public final class RateLimitService extends VerticleBase {
  /** The only method of the service. */
  public static final ServiceMethod<RateLimitRequest, RateLimitResponse> SHOULD_RATE_LIMIT =
      ServiceMethod.server(
          ServiceName.create("envoy.service.ratelimit.v3.RateLimitService"),
          "ShouldRateLimit",
          GrpcMessageEncoder.encoder(),
          GrpcMessageDecoder.decoder(RateLimitRequest.newBuilder()));

  private static final Logger LOG = LoggerFactory.getLogger(RateLimitService.class);
  private static final long MAX_MESSAGE_BYTES = 64 << 10;
  private static final int MAX_DESCRIPTORS = 64;

  /** Calls whose message is not whole may hold the heap's limit divided by this. */
  private static final long INCOMPLETE_CALL_HEAP_DIVISOR = 16;

  private static final long DEFAULT_TIMEOUT_MILLIS = 1_000;
  private final GatewaySettings settings;
  private final Function<PolicyConfig, GatewayPolicy> policyFactory;
  private final DescriptorMatcher descriptorMatcher;
  private final Map<String, Plan> plans = new HashMap<>();
  private final IncompleteCalls incompleteCalls =
      new IncompleteCalls(
          Runtime.getRuntime().maxMemory() / INCOMPLETE_CALL_HEAP_DIVISOR, MAX_MESSAGE_BYTES);
  private QuotaService quotaService;
  private HttpServer server;

  /** The request that the gRPC server is handling. */
  private HttpServerRequest handledRequest;

  /**
   * Creates a service that is not started yet.
   *
   * @param policyFactory creates the policy from its configuration
   */
  public RateLimitService(
      GatewaySettings settings, Function<PolicyConfig, GatewayPolicy> policyFactory) {
    this.settings = settings;
    this.policyFactory = policyFactory;
    this.descriptorMatcher = new DescriptorMatcher(settings.rateLimit().descriptors());
    settings.plans().forEach(plan -> plans.put(plan.name(), plan));
  }

  @Override
  public Future<?> start() {
    quotaService =
        new QuotaService(vertx, context, settings, settings.firstInstance(), policyFactory);
    GrpcServer grpcServer =
        GrpcServer.server(vertx, new GrpcServerOptions().setMaxMessageSize(MAX_MESSAGE_BYTES));
    grpcServer.callHandler(SHOULD_RATE_LIMIT, this::onCall);
    server =
        vertx
            .createHttpServer(
                new HttpServerOptions().setHttp2ClearTextEnabled(true).setTcpNoDelay(true))
            .requestHandler(
                request -> {
                  handledRequest = request;
                  grpcServer.handle(request);
                });
    Address listenAddress = settings.rateLimit().listen();
    return server
        .listen(listenAddress.port(), listenAddress.host())
        .onSuccess(
            boundServer ->
                LOG.info(
                    "rate limit service listening: address={}:{}",
                    listenAddress.host(),
                    boundServer.actualPort()));
  }

  /** Returns the port that the service listens on. */
  public int port() {
    return server.actualPort();
  }

  @Override
  public Future<?> stop() {
    quotaService.close();
    return server.close();
  }

  /** Called within the handling of its request, when the call's head has arrived. */
  private void onCall(GrpcServerRequest<RateLimitRequest, RateLimitResponse> call) {
    IncompleteCalls.IncompleteCall incompleteCall = incompleteCalls.begin(handledRequest);
    call.exceptionHandler(e -> incompleteCall.end());
    call.endHandler(v -> incompleteCall.end());
    call.handler(
        request -> {
          incompleteCall.end();
          shouldRateLimit(call, request);
        });
  }

  private void shouldRateLimit(
      GrpcServerRequest<RateLimitRequest, RateLimitResponse> call, RateLimitRequest request) {
    List<QuotaRequest> quotaRequests;
    try {
      quotaRequests = quotaRequests(request);
    } catch (IllegalArgumentException e) {
      endWithStatus(call, GrpcStatus.INVALID_ARGUMENT, e.getMessage());
      return;
    }
    RateLimitCall rateLimitCall =
        new RateLimitCall(
            plans,
            quotaRequests,
            quotaService,
            response -> {
              if (response == null) {
                endWithStatus(call, GrpcStatus.UNAVAILABLE, "not decided in time");
              } else {
                call.response().end(response);
              }
            });
    call.exceptionHandler(e -> rateLimitCall.cancel());
    long timeoutMillis = call.timeout() > 0 ? call.timeout() : DEFAULT_TIMEOUT_MILLIS;
    rateLimitCall.start(timeoutMillis * 1_000);
  }

  private static void endWithStatus(
      GrpcServerRequest<RateLimitRequest, RateLimitResponse> call,
      GrpcStatus status,
      String message) {
    call.response().status(status).statusMessage(message).end();
  }

  /** Returns the quota request of each descriptor; null for a descriptor that is not limited. */
  private List<QuotaRequest> quotaRequests(RateLimitRequest request) {
    int count = request.getDescriptorsCount();
    if (request.getDomain().isEmpty() || count == 0 || count > MAX_DESCRIPTORS) {
      throw new IllegalArgumentException(
          "a domain and 1 to "
              + MAX_DESCRIPTORS
              + " descriptors are expected, there are "
              + count
              + " in domain '"
              + request.getDomain()
              + "'");
    }
    List<QuotaRequest> quotaRequests = new ArrayList<>();
    for (RateLimitDescriptor descriptor : request.getDescriptorsList()) {
      quotaRequests.add(quotaRequest(request, descriptor));
    }
    return quotaRequests;
  }

  private QuotaRequest quotaRequest(RateLimitRequest request, RateLimitDescriptor descriptor) {
    if (descriptor.hasLimit()) {
      throw new IllegalArgumentException(
          "a descriptor overrides its limit; limits are those of the plans");
    }
    long hitsAddend =
        descriptor.hasHitsAddend()
            ? descriptor.getHitsAddend().getValue()
            : request.getHitsAddend();
    return descriptorMatcher.match(
        request.getDomain(),
        descriptor.getEntriesList().stream()
            .map(entry -> Map.entry(entry.getKey(), entry.getValue()))
            .toList(),
        hitsAddend);
  }
}
