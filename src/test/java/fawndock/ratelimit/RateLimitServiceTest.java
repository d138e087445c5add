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
 * A client made from the public definitions, against two gatekeepers' rate limit services and one
 * counter.
 */
class RateLimitServiceTest {
  private static final ServiceMethod<RateLimitResponse, RateLimitRequest> CALL =
      ServiceMethod.client(
          ServiceName.create("envoy.service.ratelimit.v3.RateLimitService"),
          "ShouldRateLimit",
          GrpcMessageEncoder.encoder(),
          GrpcMessageDecoder.decoder(RateLimitResponse.newBuilder()));
  @TempDir private Path directory;
  private final Vertx vertx = Vertx.vertx();
  private final FakeCounterServer counter = new FakeCounterServer();
  private final List<RateLimitService> nodes = new ArrayList<>();
  private GrpcClient client;

  /**
   * Windows of the plan below are 20 s of the wall clock; a test that met their end would find
   * other totals.
   */
  private static void awaitStartOfQuotaWindow() throws InterruptedException {
    long into = System.currentTimeMillis() % 20_000;
    Thread.sleep(into < 14_000 ? 0 : 20_050 - into);
  }

  @BeforeEach
  void start() throws Exception {
    awaitStartOfQuotaWindow();
    counter.start();
    client = GrpcClient.client(vertx);
    for (int i = 0; i < 2; i++) {
      RateLimitService node = new RateLimitService(settings(i, ""), DefaultGatewayPolicy::new);
      wait(vertx.deployVerticle(node));
      nodes.add(node);
    }
  }

  @AfterEach
  void stop() throws Exception {
    wait(vertx.close());
    counter.close();
  }

  private GatewaySettings settings(int me, String more) throws Exception {
    Path file =
        Files.writeString(
            directory.resolve("g" + me + ".conf"),
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
                    .formatted(me, counter.port())
                + more);
    return GatewaySettingsFile.read(file);
  }

  private static <T> T wait(io.vertx.core.Future<T> what) throws Exception {
    return what.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  private static RateLimitDescriptor descriptor(String... pairs) {
    RateLimitDescriptor.Builder made = RateLimitDescriptor.newBuilder();
    for (int i = 0; i < pairs.length; i += 2) {
      made.addEntries(
          RateLimitDescriptor.Entry.newBuilder().setKey(pairs[i]).setValue(pairs[i + 1]));
    }
    return made.build();
  }

  private static RateLimitDescriptor lookup(String agency) {
    return descriptor("agency", agency, "class", "lookup");
  }

  private RateLimitResponse ask(int node, RateLimitDescriptor... descriptors) throws Exception {
    return ask(
        node,
        RateLimitRequest.newBuilder()
            .setDomain("desks")
            .addAllDescriptors(List.of(descriptors))
            .build());
  }

  private RateLimitResponse ask(int node, RateLimitRequest request) throws Exception {
    return wait(
        client
            .request(SocketAddress.inetSocketAddress(nodes.get(node).port(), "127.0.0.1"), CALL)
            .compose(call -> call.send(request))
            .compose(
                answer ->
                    answer
                        .last()
                        .compose(
                            last ->
                                answer.status() == GrpcStatus.OK
                                    ? io.vertx.core.Future.succeededFuture(last)
                                    : io.vertx.core.Future.failedFuture(
                                        answer.status() + " " + answer.statusMessage()))));
  }

  private Code code(int node, RateLimitDescriptor... descriptors) throws Exception {
    return ask(node, descriptors).getOverallCode();
  }

  @Test
  void oneQuotaThroughTwoGatekeepers() throws Exception {
    for (int i = 0; i < 4; i++) {
      assertEquals(Code.OK, code(i % 2, lookup("one")), "question " + i);
    }
    RateLimitResponse fifth = ask(0, lookup("one"));
    assertEquals(Code.OVER_LIMIT, fifth.getOverallCode());
    assertEquals("small", fifth.getStatuses(0).getCurrentLimit().getName());
    assertTrue(fifth.getStatuses(0).getDurationUntilReset().getSeconds() >= 1);
    assertEquals("retry-after", fifth.getResponseHeadersToAdd(0).getKey());
    assertEquals(Code.OK, code(1, lookup("two")), "another customer has its own");
    assertEquals(
        Code.OK,
        code(0, descriptor("agency", "one", "class", "lookup", "more", "x")),
        "an entry more is no fit");
    assertEquals(Code.OK, code(0, descriptor("agency", "one")), "nor is one less");
  }

  @Test
  void unitsAndHitsCount() throws Exception {
    assertEquals(Code.OK, code(0, descriptor("agency", "one", "class", "quote")));
    RateLimitDescriptor twice = lookup("one").toBuilder().setHitsAddend(UInt64Value.of(2)).build();
    assertEquals(Code.OK, code(0, twice));
    assertEquals(Code.OVER_LIMIT, code(0, lookup("one")), "two units and two hits of four");
  }

  @Test
  void aBatchIsAllOrNothing() throws Exception {
    for (int i = 0; i < 4; i++) {
      code(0, lookup("full"));
    }
    for (int i = 0; i < 6; i++) {
      RateLimitResponse answer =
          ask(0, lookup("fresh"), lookup("full"), descriptor("agency", "house"));
      assertEquals(Code.OVER_LIMIT, answer.getOverallCode());
      assertEquals(
          List.of(Code.OK, Code.OVER_LIMIT, Code.OK),
          answer.getStatusesList().stream().map(s -> s.getCode()).toList());
    }
    for (int i = 0; i < 4; i++) {
      assertEquals(Code.OK, code(0, lookup("fresh")), "nothing of the batches was counted: " + i);
    }
    assertEquals(Code.OVER_LIMIT, code(0, lookup("fresh")));
  }

  @Test
  void whatFitsNoLineIsNotLimitedAndWhatIsWrongIsSaid() throws Exception {
    assertEquals(Code.OK, code(0, descriptor("path", "/")));
    RateLimitDescriptor override =
        lookup("one").toBuilder()
            .setLimit(RateLimitDescriptor.RateLimitOverride.newBuilder().setRequestsPerUnit(9))
            .build();
    for (RateLimitRequest bad :
        List.of(
            RateLimitRequest.newBuilder().setDomain("desks").addDescriptors(override).build(),
            RateLimitRequest.newBuilder().setDomain("desks").build(),
            RateLimitRequest.newBuilder().addDescriptors(lookup("a")).build(),
            RateLimitRequest.newBuilder()
                .setDomain("desks")
                .addDescriptors(lookup("a".repeat(257)))
                .build())) {
      String told = assertThrows(ExecutionException.class, () -> ask(0, bad)).getMessage();
      assertTrue(told.contains("INVALID_ARGUMENT") || told.contains("3"), told);
    }
  }

  @Test
  void aSilentCounterLetsInInTime() throws Exception {
    counter.setUnresponsive(true);
    for (int i = 0;
        i < 10;
        i++) { // One customer's tenth would go by its own demand, as in a crowd, until silence is
      // certain.
      assertEquals(Code.OK, code(0, lookup("customer " + i)));
    }
  }

  @Test
  void mistakesInDescriptorsAreToldAtOnce() {
    String told =
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
    for (String each :
        List.of(
            ":14: 'agency' is no entry",
            ":15: customer '{desk}'",
            ":16: there is no plan 'big'",
            ":16: there is no class 'tour'")) {
      assertTrue(told.contains(each), each + " in " + told);
    }
  }
}
