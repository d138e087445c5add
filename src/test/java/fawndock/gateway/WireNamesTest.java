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

/** Golden list of what clients, operators and discovery servers see by name. */
class WireNamesTest {
  /** The status, the problem's fields and the header fields that are the gateway's own. */
  private static String problem(HttpResponse<String> answer) {
    JsonObject body = new JsonObject(answer.body());
    assertEquals(
        "application/problem+json", answer.headers().firstValue("content-type").orElse(""));
    assertEquals("no-store", answer.headers().firstValue("cache-control").orElse(""));
    assertEquals(
        new TreeSet<>(List.of("type", "title", "status", "detail")),
        new TreeSet<>(body.fieldNames()));
    assertEquals(answer.statusCode(), body.getInteger("status"));
    TreeSet<String> fields = new TreeSet<>(answer.headers().map().keySet());
    fields.removeAll(List.of("content-type", "cache-control", "content-length", "connection"));
    return answer.statusCode() + " " + body.getString("type") + " " + fields;
  }

  @Test
  void problemTypesAndHeaderFields_ofUnreadableRequests() throws Exception {
    try (GatewayHarness s = new GatewayHarness(r -> r.response().end(), "sizes body 1KiB")) {
      List<HttpRequest.Builder> requests =
          List.of(
              s.to("/lookup/%2e%2E/admin"),
              s.to("/lookup").setHeader("x-api-key", "nobody's"),
              s.to("/elsewhere"),
              s.to("/update").PUT(HttpRequest.BodyPublishers.noBody()),
              s.to("/lookup").header("x-envoy-expected-rq-timeout-ms", "soon"),
              s.to("/lookup").header("x-envoy-attempt-count", "0"),
              s.to("/lookup").POST(HttpRequest.BodyPublishers.ofString("x".repeat(2_000))));
      List<String> seen = new ArrayList<>();
      for (HttpRequest.Builder request : requests) {
        seen.add(problem(s.send(request).get()));
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
          seen);
    }
  }

  @Test
  void problemTypesAndHeaderFields_ofDecisions() throws Exception {
    try (GatewayHarness s = new GatewayHarness(r -> r.response().reset(2))) {
      assertEquals("502 urn:fawndock:problem:failed []", problem(s.get("/lookup")));
      s.policy.respondWith((now, e) -> List.of());
      assertEquals(
          "504 urn:fawndock:problem:failed []",
          problem(s.send(s.to("/lookup").header("x-envoy-expected-rq-timeout-ms", "50")).get()));
      s.policy.respondWith(
          (now, e) ->
              e instanceof RequestArrived r
                  ? List.of(new RejectRequest(r.requestId(), 1))
                  : List.of());
      assertEquals(
          "429 urn:fawndock:problem:refused [ratelimit, ratelimit-policy, retry-after]",
          problem(s.get("/lookup")));
    }
  }

  @Test
  void problemTypeAndHeaderFields_beyondTheRequestsThatMayBeInFlight() throws Exception {
    try (GatewayHarness s = new GatewayHarness(r -> {}, "limits open 1")) {
      var unused = s.send(s.to("/lookup").header("x-envoy-expected-rq-timeout-ms", "2000"));
      s.policy.await(RequestArrived.class);
      assertEquals("503 urn:fawndock:problem:open [retry-after]", problem(s.get("/lookup")));
    }
  }

  @Test
  void problemType_ofABodyThatIsTooSlow() throws Exception {
    try (GatewayHarness s = new GatewayHarness(r -> {});
        Socket socket = new Socket("127.0.0.1", s.port)) {
      socket.setSoTimeout(20_000);
      socket
          .getOutputStream()
          .write(
              ("POST /lookup HTTP/1.1\r\nhost: x\r\nx-api-key: k1\r\n"
                      + "x-envoy-expected-rq-timeout-ms: 50\r\ncontent-length: 10\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
      StringBuilder answer = new StringBuilder();
      while (answer.indexOf("\"type\":\"urn:fawndock:problem:slow\"") < 0) {
        int next = socket.getInputStream().read();
        assertTrue(next >= 0, answer.toString());
        answer.append((char) next);
      }
      assertTrue(answer.toString().startsWith("HTTP/1.1 408 "), answer.toString());
    }
  }

  @Test
  void endpointListLine_fieldsAndWords() {
    String entry =
        "{\"id\":\"%s\",\"host\":\"10.0.0.1\",\"port\":9001,\"zone\":\"here\",\"cell\":3,"
            + "\"state\":\"%s\",\"weight\":2.5,\"started_us\":12}";
    for (Map.Entry<String, EndpointUpdateKind> list :
        Map.of("complete", EndpointUpdateKind.SNAPSHOT, "changes", EndpointUpdateKind.CHANGES)
            .entrySet()) {
      EndpointWatchParser.Message line =
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
      assertEquals(list.getValue(), line.kind());
      assertEquals(
          List.of(
              new Endpoint("r", "here", 3, EndpointState.RUNNING, 2.5, 12),
              new Endpoint("s", "here", 3, EndpointState.DRAINING, 2.5, 12),
              new Endpoint("d", "here", 3, EndpointState.REMOVED, 2.5, 12)),
          line.endpoints());
      assertEquals(new Address("10.0.0.1", 9001), line.addresses().get("r"));
    }
  }

  /** The arguments of the lines that one logger writes, while the caller does something. */
  private static final class LogCapture implements AutoCloseable {
    final Logger logger;
    final ListAppender<ILoggingEvent> lines = new ListAppender<>();

    LogCapture(String name) {
      logger = (Logger) LoggerFactory.getLogger(name);
      logger.setLevel(Level.INFO);
      lines.start();
      logger.addAppender(lines);
    }

    /** Field names of a line, with the values of those whose values are words of the manual. */
    String fields(int line) {
      GatewayHarness.awaitTrue(() -> lines.list.size() > line);
      return Arrays.stream(lines.list.get(line).getArgumentArray())
          .map(String::valueOf)
          .map(f -> f.matches("(verdict|reason|status)=.*") ? f : f.replaceAll("=.*", ""))
          .collect(Collectors.joining(" "));
    }

    @Override
    public void close() {
      logger.detachAppender(lines);
      logger.setLevel(null);
    }
  }

  private static String finalAnswer(String verdict, String reason, int status) {
    return "request label gatekeeper class plan customer attempts verdict=%s reason=%s status=%d"
        .formatted(verdict, reason, status)
        .concat(" took_us left_us");
  }

  @Test
  void accessLogLine_fieldsAndVerdicts() throws Exception {
    try (LogCapture log = new LogCapture("fawndock.answers");
        GatewayHarness s = new GatewayHarness(r -> r.response().end())) {
      s.get("/lookup");
      assertEquals(finalAnswer("served", "w", 200), log.fields(0));
      s.get("/elsewhere");
      assertEquals("label gatekeeper verdict=turned away reason=route status=404", log.fields(1));
      s.policy.respondWith(
          (now, e) ->
              e instanceof RequestArrived r
                  ? List.of(new RejectRequest(r.requestId(), 1))
                  : List.of());
      s.get("/lookup");
      assertEquals(finalAnswer("refused", "not sent", 429), log.fields(2));
      s.policy.respondWith((now, e) -> List.of());
      s.send(s.to("/lookup").header("x-envoy-expected-rq-timeout-ms", "50")).get();
      assertEquals(finalAnswer("failed", "not sent", 504), log.fields(3));
      try (Socket socket = new Socket("127.0.0.1", s.port)) {
        socket
            .getOutputStream()
            .write(
                "GET /lookup HTTP/1.1\r\nhost: x\r\nx-api-key: k1\r\nx-request-id: leaves\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
        GatewayHarness.awaitTrue(() -> s.policy.all(RequestArrived.class).size() == 4);
      }
      s.policy.await(ClientDisconnected.class);
      assertEquals(finalAnswer("gone", "client left", 0), log.fields(4));
    }
  }
}
