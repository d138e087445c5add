package fawndock.ratelimit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.UInt64Value;
import fawndock.fake.FakeCounterServer;
import fawndock.policy.DefaultGatewayPolicy;
import fawndock.ratelimit.proto.RateLimitDescriptor;
import fawndock.ratelimit.proto.RateLimitRequest;
import fawndock.ratelimit.proto.RateLimitResponse;
import fawndock.ratelimit.proto.RateLimitResponse.Code;
import fawndock.settings.ConfigurationException;
import fawndock.settings.GatewaySettings;
import fawndock.settings.GatewaySettingsFile;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.common.GrpcMessageDecoder;
import io.vertx.grpc.common.GrpcMessageEncoder;
import io.vertx.grpc.common.GrpcStatus;
import io.vertx.grpc.common.ServiceMethod;
import io.vertx.grpc.common.ServiceName;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Calls the rate limit services of two gateway instances, which share one counter, with a client
 * built from the public service definition.
 */
class RateLimitServiceTest {
  private static final ServiceMethod<RateLimitResponse, RateLimitRequest> SHOULD_RATE_LIMIT =
      ServiceMethod.client(
          ServiceName.create("envoy.service.ratelimit.v3.RateLimitService"),
          "ShouldRateLimit",
          GrpcMessageEncoder.encoder(),
          GrpcMessageDecoder.decoder(RateLimitResponse.newBuilder()));
  @TempDir private Path directory;
  private final Vertx vertx = Vertx.vertx();
  private final FakeCounterServer counter = new FakeCounterServer();
  private final List<RateLimitService> services = new ArrayList<>();
  private GrpcClient client;

  /**
   * Waits for the next quota window when the current one ends soon. The windows of the plan below
   * are 20 s of wall-clock time; a test that runs across the end of a window would see other
   * totals.
   */
  private static void awaitStartOfQuotaWindow() throws InterruptedException {
    long elapsedInWindowMillis = System.currentTimeMillis() % 20_000;
    Thread.sleep(elapsedInWindowMillis < 14_000 ? 0 : 20_050 - elapsedInWindowMillis);
  }

  @BeforeEach
  void start() throws Exception {
    awaitStartOfQuotaWindow();
    counter.start();
    client = GrpcClient.client(vertx);
    for (int i = 0; i < 2; i++) {
      RateLimitService service = new RateLimitService(settings(i, ""), DefaultGatewayPolicy::new);
      await(vertx.deployVerticle(service));
      services.add(service);
    }
  }

  @AfterEach
  void stop() throws Exception {
    await(vertx.close());
    counter.close();
  }

  private GatewaySettings settings(int instanceIndex, String extraLines) throws Exception {
    Path file =
        Files.writeString(
            directory.resolve("g" + instanceIndex + ".conf"),
            """
                listen 127.0.0.1:0
                gatekeeper %d of 2
                class lookup aim 5s deadline 10s repeat idempotent
                route GET /tours lookup
                plan small rate 0.2 store 4
                plan free rate 0
                server w 127.0.0.1:9
                counter 127.0.0.1:%d
                counter-limits timeout 2s
                rate-limit 127.0.0.1:0
                descriptor desks agency=*,class=lookup customer {agency} plan small class lookup
                descriptor desks agency=*,class=quote customer {agency} plan small class lookup units 2
                descriptor desks agency=house customer house plan free class lookup
                """
                    .formatted(instanceIndex, counter.port())
                + extraLines);
    return GatewaySettingsFile.read(file);
  }

  private static <T> T await(io.vertx.core.Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  private static RateLimitDescriptor descriptor(String... keysAndValues) {
    RateLimitDescriptor.Builder builder = RateLimitDescriptor.newBuilder();
    for (int i = 0; i < keysAndValues.length; i += 2) {
      builder.addEntries(
          RateLimitDescriptor.Entry.newBuilder()
              .setKey(keysAndValues[i])
              .setValue(keysAndValues[i + 1]));
    }
    return builder.build();
  }

  private static RateLimitDescriptor lookupDescriptor(String agency) {
    return descriptor("agency", agency, "class", "lookup");
  }

  private RateLimitResponse shouldRateLimit(int serviceIndex, RateLimitDescriptor... descriptors)
      throws Exception {
    return shouldRateLimit(
        serviceIndex,
        RateLimitRequest.newBuilder()
            .setDomain("desks")
            .addAllDescriptors(List.of(descriptors))
            .build());
  }

  private RateLimitResponse shouldRateLimit(int serviceIndex, RateLimitRequest request)
      throws Exception {
    return await(
        client
            .request(
                SocketAddress.inetSocketAddress(services.get(serviceIndex).port(), "127.0.0.1"),
                SHOULD_RATE_LIMIT)
            .compose(call -> call.send(request))
            .compose(
                response ->
                    response
                        .last()
                        .compose(
                            message ->
                                response.status() == GrpcStatus.OK
                                    ? io.vertx.core.Future.succeededFuture(message)
                                    : io.vertx.core.Future.failedFuture(
                                        response.status() + " " + response.statusMessage()))));
  }

  private Code overallCode(int serviceIndex, RateLimitDescriptor... descriptors) throws Exception {
    return shouldRateLimit(serviceIndex, descriptors).getOverallCode();
  }

  @Test
  void twoInstances_chargeOneQuota() throws Exception {
    for (int i = 0; i < 4; i++) {
      assertEquals(Code.OK, overallCode(i % 2, lookupDescriptor("one")), "call " + i);
    }
    RateLimitResponse fifth = shouldRateLimit(0, lookupDescriptor("one"));
    assertEquals(Code.OVER_LIMIT, fifth.getOverallCode());
    assertEquals("small", fifth.getStatuses(0).getCurrentLimit().getName());
    assertTrue(fifth.getStatuses(0).getDurationUntilReset().getSeconds() >= 1);
    assertEquals("retry-after", fifth.getResponseHeadersToAdd(0).getKey());
    assertEquals(
        Code.OK, overallCode(1, lookupDescriptor("two")), "another customer has its own quota");
    assertEquals(
        Code.OK,
        overallCode(0, descriptor("agency", "one", "class", "lookup", "more", "x")),
        "a descriptor with an additional entry does not match");
    assertEquals(
        Code.OK,
        overallCode(0, descriptor("agency", "one")),
        "a descriptor with a missing entry does not match");
  }

  @Test
  void unitsAndHitsAddend_areCharged() throws Exception {
    assertEquals(Code.OK, overallCode(0, descriptor("agency", "one", "class", "quote")));
    RateLimitDescriptor twoHits =
        lookupDescriptor("one").toBuilder().setHitsAddend(UInt64Value.of(2)).build();
    assertEquals(Code.OK, overallCode(0, twoHits));
    assertEquals(
        Code.OVER_LIMIT,
        overallCode(0, lookupDescriptor("one")),
        "two units and two hits use up the quota of four units");
  }

  @Test
  void callWithSeveralDescriptors_isAllOrNothing() throws Exception {
    for (int i = 0; i < 4; i++) {
      overallCode(0, lookupDescriptor("full"));
    }
    for (int i = 0; i < 6; i++) {
      RateLimitResponse response =
          shouldRateLimit(
              0,
              lookupDescriptor("fresh"),
              lookupDescriptor("full"),
              descriptor("agency", "house"));
      assertEquals(Code.OVER_LIMIT, response.getOverallCode());
      assertEquals(
          List.of(Code.OK, Code.OVER_LIMIT, Code.OK),
          response.getStatusesList().stream().map(status -> status.getCode()).toList());
    }
    for (int i = 0; i < 4; i++) {
      assertEquals(
          Code.OK,
          overallCode(0, lookupDescriptor("fresh")),
          "the calls over the limit were not charged: " + i);
    }
    assertEquals(Code.OVER_LIMIT, overallCode(0, lookupDescriptor("fresh")));
  }

  @Test
  void unmatchedDescriptor_isNotLimited_andInvalidOneIsRejected() throws Exception {
    assertEquals(Code.OK, overallCode(0, descriptor("path", "/")));
    RateLimitDescriptor override =
        lookupDescriptor("one").toBuilder()
            .setLimit(RateLimitDescriptor.RateLimitOverride.newBuilder().setRequestsPerUnit(9))
            .build();
    for (RateLimitRequest invalidRequest :
        List.of(
            RateLimitRequest.newBuilder().setDomain("desks").addDescriptors(override).build(),
            RateLimitRequest.newBuilder().setDomain("desks").build(),
            RateLimitRequest.newBuilder().addDescriptors(lookupDescriptor("a")).build(),
            RateLimitRequest.newBuilder()
                .setDomain("desks")
                .addDescriptors(lookupDescriptor("a".repeat(257)))
                .build())) {
      String errorMessage =
          assertThrows(ExecutionException.class, () -> shouldRateLimit(0, invalidRequest))
              .getMessage();
      assertTrue(
          errorMessage.contains("INVALID_ARGUMENT") || errorMessage.contains("3"), errorMessage);
    }
  }

  @Test
  void unreachableCounter_failsOpenInTime() throws Exception {
    counter.setUnresponsive(true);
    // Each request is from another customer: until the counter counts as unreachable, its calls are
    // only throttled, and the tenth request of one customer would be decided by that customer's own
    // demand, as under overload.
    for (int i = 0; i < 10; i++) {
      assertEquals(Code.OK, overallCode(0, lookupDescriptor("customer " + i)));
    }
  }

  @Test
  void descriptorErrors_areReportedTogether() {
    String errorMessage =
        assertThrows(
                ConfigurationException.class,
                () ->
                    settings(
                        0,
                        """
                descriptor desks agency customer one plan small class lookup
                descriptor desks agency=* customer {desk} plan small class lookup
                descriptor desks agency=* customer one plan big class tour
                """))
            .getMessage();
    for (String expectedText :
        List.of(
            ":14: 'agency' is no entry",
            ":15: customer '{desk}'",
            ":16: there is no plan 'big'",
            ":16: there is no class 'tour'")) {
      assertTrue(errorMessage.contains(expectedText), expectedText + " in " + errorMessage);
    }
  }
}
