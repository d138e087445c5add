package fawndock.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import fawndock.policy.action.RejectRequest;
import fawndock.policy.event.ClientDisconnected;
import fawndock.policy.event.Endpoint;
import fawndock.policy.event.EndpointState;
import fawndock.policy.event.EndpointUpdateKind;
import fawndock.policy.event.RequestArrived;
import fawndock.settings.Address;
import io.vertx.core.json.JsonObject;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Checks the names in responses, log lines and discovery messages that must stay compatible. */
class WireNamesTest {
  /**
   * Returns the status, the problem type and the names of the header fields that depend on the
   * problem; checks the remaining fields.
   */
  private static String problemSummary(HttpResponse<String> response) {
    JsonObject body = new JsonObject(response.body());
    assertEquals(
        "application/problem+json", response.headers().firstValue("content-type").orElse(""));
    assertEquals("no-store", response.headers().firstValue("cache-control").orElse(""));
    assertEquals(
        new TreeSet<>(List.of("type", "title", "status", "detail")),
        new TreeSet<>(body.fieldNames()));
    assertEquals(response.statusCode(), body.getInteger("status"));
    TreeSet<String> fields = new TreeSet<>(response.headers().map().keySet());
    fields.removeAll(List.of("content-type", "cache-control", "content-length", "connection"));
    return response.statusCode() + " " + body.getString("type") + " " + fields;
  }

  @Test
  void problemTypesAndHeaderFields_ofInvalidRequests() throws Exception {
    try (GatewayHarness gateway =
        new GatewayHarness(request -> request.response().end(), "sizes body 1KiB")) {
      List<HttpRequest.Builder> requests =
          List.of(
              gateway.requestTo("/lookup/%2e%2E/admin"),
              gateway.requestTo("/lookup").setHeader("x-api-key", "nobody's"),
              gateway.requestTo("/elsewhere"),
              gateway.requestTo("/update").PUT(HttpRequest.BodyPublishers.noBody()),
              gateway.requestTo("/lookup").header("x-envoy-expected-rq-timeout-ms", "soon"),
              gateway.requestTo("/lookup").header("x-envoy-attempt-count", "0"),
              gateway
                  .requestTo("/lookup")
                  .POST(HttpRequest.BodyPublishers.ofString("x".repeat(2_000))));
      List<String> problems = new ArrayList<>();
      for (HttpRequest.Builder request : requests) {
        problems.add(problemSummary(gateway.send(request).get()));
      }
      assertEquals(
          List.of(
              "400 urn:fawndock:problem:path []",
              "401 urn:fawndock:problem:key [www-authenticate]",
              "404 urn:fawndock:problem:route []",
              "400 urn:fawndock:problem:idempotency-key []",
              "400 urn:fawndock:problem:field []",
              "400 urn:fawndock:problem:field []",
              "413 urn:fawndock:problem:size []"),
          problems);
    }
  }

  @Test
  void problemTypesAndHeaderFields_ofPolicyDecisions() throws Exception {
    try (GatewayHarness gateway = new GatewayHarness(request -> request.response().reset(2))) {
      assertEquals("502 urn:fawndock:problem:failed []", problemSummary(gateway.get("/lookup")));
      gateway.policy.respondWith((nowMicros, event) -> List.of());
      assertEquals(
          "504 urn:fawndock:problem:failed []",
          problemSummary(
              gateway
                  .send(gateway.requestTo("/lookup").header("x-envoy-expected-rq-timeout-ms", "50"))
                  .get()));
      gateway.policy.respondWith(
          (nowMicros, event) ->
              event instanceof RequestArrived arrived
                  ? List.of(new RejectRequest(arrived.requestId(), 1))
                  : List.of());
      assertEquals(
          "429 urn:fawndock:problem:refused [ratelimit, ratelimit-policy, retry-after]",
          problemSummary(gateway.get("/lookup")));
    }
  }

  @Test
  void problemTypeAndHeaderFields_aboveTheInFlightLimit() throws Exception {
    try (GatewayHarness gateway = new GatewayHarness(request -> {}, "limits open 1")) {
      var unused =
          gateway.send(
              gateway.requestTo("/lookup").header("x-envoy-expected-rq-timeout-ms", "2000"));
      gateway.policy.await(RequestArrived.class);
      assertEquals(
          "503 urn:fawndock:problem:open [retry-after]", problemSummary(gateway.get("/lookup")));
    }
  }

  @Test
  void problemType_ofASlowBody() throws Exception {
    try (GatewayHarness gateway = new GatewayHarness(request -> {});
        Socket socket = new Socket("127.0.0.1", gateway.port)) {
      socket.setSoTimeout(20_000);
      socket
          .getOutputStream()
          .write(
              ("POST /lookup HTTP/1.1\r\nhost: x\r\nx-api-key: k1\r\n"
                      + "x-envoy-expected-rq-timeout-ms: 50\r\ncontent-length: 10\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
      StringBuilder response = new StringBuilder();
      while (response.indexOf("\"type\":\"urn:fawndock:problem:slow\"") < 0) {
        int character = socket.getInputStream().read();
        assertTrue(character >= 0, response.toString());
        response.append((char) character);
      }
      assertTrue(response.toString().startsWith("HTTP/1.1 408 "), response.toString());
    }
  }

  @Test
  void endpointListLine_fieldsAndValues() {
    String entry =
        "{\"id\":\"%s\",\"host\":\"10.0.0.1\",\"port\":9001,\"zone\":\"here\",\"cell\":3,"
            + "\"state\":\"%s\",\"weight\":2.5,\"started_us\":12}";
    for (Map.Entry<String, EndpointUpdateKind> list :
        Map.of("complete", EndpointUpdateKind.SNAPSHOT, "changes", EndpointUpdateKind.CHANGES)
            .entrySet()) {
      EndpointWatchParser.Message message =
          EndpointWatchParser.parse(
              "{\"list\":\""
                  + list.getKey()
                  + "\",\"servers\":["
                  + String.join(
                      ",",
                      entry.formatted("r", "running"),
                      entry.formatted("s", "stopping"),
                      entry.formatted("d", "deleted"))
                  + "]}");
      assertEquals(list.getValue(), message.kind());
      assertEquals(
          List.of(
              new Endpoint("r", "here", 3, EndpointState.RUNNING, 2.5, 12),
              new Endpoint("s", "here", 3, EndpointState.DRAINING, 2.5, 12),
              new Endpoint("d", "here", 3, EndpointState.REMOVED, 2.5, 12)),
          message.endpoints());
      assertEquals(new Address("10.0.0.1", 9001), message.addresses().get("r"));
    }
  }

  /** Records the events of one logger until it is closed. */
  private static final class LogCapture implements AutoCloseable {
    final Logger logger;
    final ListAppender<ILoggingEvent> appender = new ListAppender<>();

    LogCapture(String name) {
      logger = (Logger) LoggerFactory.getLogger(name);
      logger.setLevel(Level.INFO);
      appender.start();
      logger.addAppender(appender);
    }

    /**
     * Returns the field names of a line, with the values of those fields that have fixed values.
     */
    String fields(int index) {
      GatewayHarness.awaitTrue(() -> appender.list.size() > index);
      return Arrays.stream(appender.list.get(index).getArgumentArray())
          .map(String::valueOf)
          .map(
              field ->
                  field.matches("(verdict|reason|status)=.*") ? field : field.replaceAll("=.*", ""))
          .collect(Collectors.joining(" "));
    }

    @Override
    public void close() {
      logger.detachAppender(appender);
      logger.setLevel(null);
    }
  }

  private static String finalResponseFields(String verdict, String reason, int status) {
    return "request label gatekeeper class plan customer attempts verdict=%s reason=%s status=%d"
        .formatted(verdict, reason, status)
        .concat(" took_us left_us");
  }

  @Test
  void accessLogLine_fieldsAndVerdicts() throws Exception {
    try (LogCapture log = new LogCapture("fawndock.answers");
        GatewayHarness gateway = new GatewayHarness(request -> request.response().end())) {
      gateway.get("/lookup");
      assertEquals(finalResponseFields("served", "w", 200), log.fields(0));
      gateway.get("/elsewhere");
      assertEquals("label gatekeeper verdict=turned away reason=route status=404", log.fields(1));
      gateway.policy.respondWith(
          (nowMicros, event) ->
              event instanceof RequestArrived arrived
                  ? List.of(new RejectRequest(arrived.requestId(), 1))
                  : List.of());
      gateway.get("/lookup");
      assertEquals(finalResponseFields("refused", "not sent", 429), log.fields(2));
      gateway.policy.respondWith((nowMicros, event) -> List.of());
      gateway
          .send(gateway.requestTo("/lookup").header("x-envoy-expected-rq-timeout-ms", "50"))
          .get();
      assertEquals(finalResponseFields("failed", "not sent", 504), log.fields(3));
      try (Socket socket = new Socket("127.0.0.1", gateway.port)) {
        socket
            .getOutputStream()
            .write(
                "GET /lookup HTTP/1.1\r\nhost: x\r\nx-api-key: k1\r\nx-request-id: leaves\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
        GatewayHarness.awaitTrue(() -> gateway.policy.eventsOf(RequestArrived.class).size() == 4);
      }
      gateway.policy.await(ClientDisconnected.class);
      assertEquals(finalResponseFields("gone", "client left", 0), log.fields(4));
    }
  }
}
